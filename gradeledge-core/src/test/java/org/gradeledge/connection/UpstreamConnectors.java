package org.gradeledge.connection;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLogs;

/** Creates connectors for tests. */
final class UpstreamConnectors {

  private UpstreamConnectors() {}

  /** Creates a connector that has no other boxes. */
  static UpstreamConnector withoutTunnels(EventLoop loop) {
    DirectDialer dialer = new DirectDialer(loop);
    UpstreamPaths paths =
        new UpstreamPaths(
            loop,
            System::nanoTime,
            EventLogs.silent(),
            List::of,
            (target, listener) -> dialer.check(target, UpstreamPaths.CHECK_TIMEOUT, listener));
    return new UpstreamConnector(loop, dialer, paths, new NoTunnels());
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
