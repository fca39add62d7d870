package org.gradeledge.connection;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLogs;

/** Creates connectors for tests. */
public final class UpstreamConnectors {

  private UpstreamConnectors() {}

  /** Creates a connector that has no other boxes. */
  public static UpstreamConnector withoutTunnels(EventLoop loop) {
    DirectDialer dialer = new DirectDialer(loop);
    return new UpstreamConnector(
        loop,
        dialer,
        paths(
            loop,
            List.of(),
            (target, listener) -> dialer.check(target, UpstreamPaths.CHECK_TIMEOUT, listener)),
        new NoTunnels());
  }

  /** Creates a connector that has no path of its own to an upstream. */
  public static UpstreamConnector withTunnelsOnly(
      EventLoop loop, UpstreamRecord target, TunnelConnector tunnels) {
    UpstreamPaths paths = paths(loop, List.of(target), (upstream, listener) -> {});
    paths.recordFailed(target, PathCheck.REFUSED);
    return new UpstreamConnector(loop, new DirectDialer(loop), paths, tunnels);
  }

  private static UpstreamPaths paths(
      EventLoop loop, List<UpstreamRecord> known, UpstreamPaths.DirectCheck directCheck) {
    return new UpstreamPaths(loop, System::nanoTime, EventLogs.silent(), () -> known, directCheck);
  }

  /** Reaches no upstream. */
  private static final class NoTunnels implements TunnelConnector {

    @Override
    public void connect(UpstreamRecord target, Consumer<Result> listener) {
      listener.accept(new Result(PathCheck.UNAVAILABLE, Optional.empty()));
    }

    @Override
    public void check(UpstreamRecord target, Consumer<PathCheck> listener) {
      listener.accept(PathCheck.UNAVAILABLE);
    }
  }
}
