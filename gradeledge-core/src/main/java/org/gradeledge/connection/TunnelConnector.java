package org.gradeledge.connection;

import io.netty.channel.Channel;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * Connects to upstreams through other boxes, where this box has no path of its own. Confined to the
 * event loop.
 *
 * @since 0.3
 */
public interface TunnelConnector {

  /**
   * A connection through another box. Its channel does not read automatically, so that handlers can
   * be added first.
   *
   * @param channel an open channel whose bytes are those of the connection with the upstream
   * @param box the box in between
   * @param usable whether new calls may still be sent on the connection
   */
  record Tunnel(Channel channel, String box, BooleanSupplier usable) {}

  /**
   * Outcome of an attempt to connect.
   *
   * @param check what other boxes found
   * @param tunnel the connection; present if the upstream was reached
   */
  record Result(PathCheck check, Optional<Tunnel> tunnel) {}

  /** Connects to an upstream; the listener is called once, possibly before this method returns. */
  void connect(UpstreamRecord target, Consumer<Result> listener);

  /**
   * Asks other boxes whether they can connect to an upstream; the listener is called once, possibly
   * before this method returns.
   */
  void check(UpstreamRecord target, Consumer<PathCheck> listener);
}
