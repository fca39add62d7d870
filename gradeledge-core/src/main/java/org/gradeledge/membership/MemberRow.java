package org.gradeledge.membership;

import org.gradeledge.peer.PeerAddress;

/**
 * The table row of a member box.
 *
 * @param boxId name of the box
 * @param incarnation increases each time a box of that name joins
 * @param availabilityZone availability zone of the box
 * @param host IP address for connections from peers
 * @param port port for connections from peers
 * @param removing whether it is marked for removal and no longer confirmed by others
 * @since 0.1
 */
public record MemberRow(
    String boxId,
    long incarnation,
    String availabilityZone,
    String host,
    int port,
    boolean removing) {

  /** Prefix of the keys of all member rows. */
  public static final String PREFIX = "member/";

  /** Returns the row key of a box. */
  public static String rowKey(String boxId) {
    return PREFIX + boxId;
  }

  /** Returns the address for connections from peers. */
  public PeerAddress address() {
    return new PeerAddress(boxId, incarnation, host, port);
  }

  /** Returns a copy of this row that is marked for removal. */
  public MemberRow markedRemoving() {
    return new MemberRow(boxId, incarnation, availabilityZone, host, port, true);
  }
}
