package org.gradeledge.peer;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Address at which another box listens for connections of its peers.
 *
 * @param boxId name of the box
 * @param incarnation number that increases each time a box of that name joins
 * @param host IP address
 * @param port TCP port
 * @since 0.1
 */
public record PeerAddress(String boxId, long incarnation, String host, int port) {

  /** Requires the name and the host. */
  public PeerAddress {
    Objects.requireNonNull(boxId, "boxId must not be null");
    Objects.requireNonNull(host, "host must not be null");
  }

  /** Returns the socket address to connect to. */
  public InetSocketAddress socketAddress() {
    return new InetSocketAddress(host, port);
  }

  /** Explicit, because bootstrapping the generated method of a record slows the start of a box. */
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
