package org.gradeledge.peer;

import java.net.InetSocketAddress;
import java.util.Objects;

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
}
