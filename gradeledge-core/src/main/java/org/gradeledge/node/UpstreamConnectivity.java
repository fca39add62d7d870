package org.gradeledge.node;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.gradeledge.connection.DirectDialer;
import org.gradeledge.connection.PooledUpstreamCaller;
import org.gradeledge.connection.ResponseAnomalyLog;
import org.gradeledge.connection.UpstreamConnector;
import org.gradeledge.connection.UpstreamPaths;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLog;
import org.gradeledge.mesh.BoxMesh;
import org.gradeledge.relay.RelayMetrics;
import org.gradeledge.time.MonotonicClock;
import org.gradeledge.tunnel.TunnelClient;
import org.gradeledge.tunnel.TunnelServer;
import reactor.core.publisher.Mono;

/**
 * Connects a box to upstreams, directly or through other boxes, and other boxes through this one.
 */
final class UpstreamConnectivity {

  private final UpstreamRegistry upstreams;
  private final UpstreamPaths paths;
  private final TunnelClient tunnels;
  private final TunnelServer server;
  private final PooledUpstreamCaller caller;
  private final ResponseAnomalyLog anomalies;

  UpstreamConnectivity(
      EventLoop loop,
      MonotonicClock clock,
      EventLog events,
      UpstreamRegistry upstreams,
      BoxMesh mesh,
      ToIntFunction<UpstreamRecord> connectionLimit) {
    this.upstreams = upstreams;
    DirectDialer dialer = new DirectDialer(loop);
    this.paths =
        new UpstreamPaths(
            loop,
            clock,
            events,
            upstreams::all,
            (target, listener) -> dialer.check(target, UpstreamPaths.CHECK_TIMEOUT, listener));
    this.tunnels = new TunnelClient(loop, clock, dialer, mesh.tunnelPeers());
    this.server = new TunnelServer(loop, dialer, paths, this::find);
    this.caller =
        new PooledUpstreamCaller(
            loop, new UpstreamConnector(loop, dialer, paths, tunnels), connectionLimit, clock);
    this.anomalies = new ResponseAnomalyLog(events);
    caller.onAnomaly(anomalies::record);
    paths.onSilent(caller::discardConnections);
    upstreams.onRetired(caller::retire);
    upstreams.onReplaced(caller::abort);
    mesh.onTunnelRequest(server::offer);
  }

  private Optional<UpstreamRecord> find(String incarnationId) {
    return upstreams.all().stream()
        .filter(upstream -> upstream.incarnationId().equals(incarnationId))
        .findFirst();
  }

  PooledUpstreamCaller caller() {
    return caller;
  }

  /** Starts to accept tunnels of other boxes. */
  Mono<Void> listen(InetSocketAddress address) {
    return server.listen(address);
  }

  /** Accepts no more tunnels of other boxes. */
  void stopAcceptingTunnels() {
    server.stop();
  }

  /** Returns the number of open tunnels of other boxes. */
  int servedTunnels() {
    return server.openCount();
  }

  void registerMetrics(RelayMetrics metrics) {
    metrics.upstreams().registerPaths(paths::lostCount, tunnels::openedCount, server::openCount);
    metrics.upstreams().registerResponseAnomalies(anomalies::count);
  }
}
