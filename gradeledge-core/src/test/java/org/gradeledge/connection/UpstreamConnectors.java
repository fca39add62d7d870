package org.gradeledge.connection;

import io.netty.channel.EventLoop;
import java.util.List;
import org.gradeledge.event.EventLogs;

/** Creates connectors for tests. */
final class UpstreamConnectors {

  private UpstreamConnectors() {}

  /** Creates a connector that has no other boxes. */
  static UpstreamConnector withoutTunnels(EventLoop loop) {
    return withTunnels(loop, TunnelConnector.NONE);
  }

  /** Creates a connector that reaches upstreams directly or through the given tunnels. */
  static UpstreamConnector withTunnels(EventLoop loop, TunnelConnector tunnels) {
    DirectDialer dialer = new DirectDialer(loop);
    UpstreamPaths paths =
        new UpstreamPaths(
            loop,
            System::nanoTime,
            EventLogs.silent(),
            List::of,
            (target, listener) -> dialer.check(target, UpstreamPaths.CHECK_TIMEOUT, listener));
    return new UpstreamConnector(loop, dialer, paths, tunnels);
  }
}
