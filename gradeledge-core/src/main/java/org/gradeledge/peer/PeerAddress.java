package org.gradeledge.peer;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Where another box listens for its peers.
 *
 * @param boxId its name
 * @param incarnation counts up each time a box of that name joins
 * @param host IP number
 * @param port TCP port
 * @since 0.1
 */
public record PeerAddress(String boxId, long incarnation, String host, int port) {

  /** Checks the address. */
  public PeerAddress {
    Objects.requireNonNull(boxId, "boxId must be given");
    Objects.requireNonNull(host, "host must be given");
  }

  /** Returns where to connect. */
  public InetSocketAddress socketAddress() {
    return new InetSocketAddress(host, port);
  }

  /** Written out, as the one that a record makes costs each young process some 30 milliseconds. */
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof PeerAddress that
        && boxId.equals(that.boxId)
        && incarnation == that.incarnation
        && host.equals(that.host)
        && port == that.port;
  }

  @Override
  public int hashCode() {
    return boxId.hashCode();
  }
}
