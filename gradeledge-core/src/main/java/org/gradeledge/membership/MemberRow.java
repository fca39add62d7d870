package org.gradeledge.membership;

import org.gradeledge.peer.PeerAddress;

/**
 * One member as its row in the table gives it.
 *
 * @param boxId name of the box
 * @param incarnation counts up each time a box of that name joins
 * @param availabilityZone where it stands
 * @param host IP number at which its peers reach it
 * @param port port at which its peers reach it
 * @param removing whether it is being removed: nobody confirms it any more
 * @since 0.1
 */
public record MemberRow(
    String boxId,
    long incarnation,
    String availabilityZone,
    String host,
    int port,
    boolean removing) {

  /** Prefix of all member rows. */
  public static final String PREFIX = "member/";

  /** Returns the key of the row of a box. */
  public static String rowKey(String boxId) {
    return PREFIX + boxId;
  }

  /** Returns where its peers reach it. */
  public PeerAddress address() {
    return new PeerAddress(boxId, incarnation, host, port);
  }

  /** Returns this row, marked as being removed. */
  public MemberRow markedRemoving() {
    return new MemberRow(boxId, incarnation, availabilityZone, host, port, true);
  }
}
