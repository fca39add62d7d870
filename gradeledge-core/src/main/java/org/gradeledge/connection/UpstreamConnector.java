package org.gradeledge.connection;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * Connects to upstreams directly or, where that fails or takes long, through another box. Confined
 * to the event loop.
 *
 * @since 0.3
 */
public final class UpstreamConnector {

  static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

  /** Far above a round trip, so that other boxes are only asked if something is wrong. */
  static final Duration TUNNEL_DELAY = Duration.ofMillis(120);

  /** Receives the outcome of an attempt to connect; exactly one method is called, once. */
  interface Listener {

    /**
     * Called with an open channel, which does not read automatically.
     *
     * @param usable whether new calls may still be sent on the connection
     */
    void onConnected(Channel channel, BooleanSupplier usable);

    /** Called if there is no connection, also after the attempt was cancelled. */
    void onFailed();
  }

  private final EventLoop loop;
  private final DirectDialer dialer;
  private final UpstreamPaths paths;
  private final TunnelConnector tunnels;

  /** Creates a connector. */
  public UpstreamConnector(
      EventLoop loop, DirectDialer dialer, UpstreamPaths paths, TunnelConnector tunnels) {
    this.loop = loop;
    this.dialer = dialer;
    this.paths = paths;
    this.tunnels = tunnels;
  }

  /** Starts to connect; the listener is not called before this method returns. */
  ConnectionAttempt connect(UpstreamRecord target, Listener listener) {
    ConnectionAttempt attempt =
        new ConnectionAttempt(target, loop, dialer, paths, tunnels, listener);
    attempt.start();
    return attempt;
  }

  /**
   * Checks whether an upstream is alive. If this box cannot connect to it, the result of other
   * boxes counts, as the upstream may be alive behind a network partition.
   */
  void check(UpstreamRecord target, Consumer<PathCheck> listener) {
    dialer.check(
        target,
        CONNECT_TIMEOUT,
        direct -> {
          if (direct == PathCheck.REACHED) {
            paths.recordConnected(target);
            listener.accept(direct);
          } else {
            paths.recordFailed(target, direct);
            tunnels.check(
                target,
                indirect -> listener.accept(indirect == PathCheck.UNAVAILABLE ? direct : indirect));
          }
        });
  }

  /** Forgets the paths to an upstream that is gone. */
  void remove(UpstreamRecord target) {
    paths.remove(target);
  }
}
