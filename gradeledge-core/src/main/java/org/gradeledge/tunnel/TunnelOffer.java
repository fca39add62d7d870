package org.gradeledge.tunnel;

import org.gradeledge.connection.PathCheck;

/**
 * Answer of a box that was asked to connect to an upstream.
 *
 * @param check what the box found
 * @param port port on which the box accepts the tunnel; 0 if there is none
 * @param ticket identifies the tunnel; empty if there is none
 * @since 0.3
 */
public record TunnelOffer(PathCheck check, int port, String ticket) {

  /** Creates an offer without a tunnel. */
  public static TunnelOffer without(PathCheck check) {
    return new TunnelOffer(check, 0, "");
  }

  /** Returns whether the box keeps a connection for a tunnel. */
  boolean hasTunnel() {
    return check == PathCheck.REACHED && !ticket.isEmpty();
  }
}
