package org.gradeledge.synchronization;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gradeledge.peer.PeerMessageType;

/**
 * Message that a box sends to each of its peers in every heartbeat interval.
 *
 * @param sent timestamp of the sender's clock, which the receiver returns as {@code echo}
 * @param echo last timestamp received from the receiver of this message, if any
 * @param serving whether the membership of the sender is confirmed
 * @param confirms whether the sender is serving and has the receiver as a member
 * @param versions configuration versions in force at the sender, by pipeline
 * @param leaving upstreams that announced that they are leaving
 * @since 0.1
 */
public record Heartbeat(
    Stamp sent,
    Optional<Stamp> echo,
    boolean serving,
    boolean confirms,
    Map<String, Long> versions,
    List<LeavingUpstream> leaving) {

  static final PeerMessageType<Heartbeat> TYPE =
      new PeerMessageType<>("heartbeat", Heartbeat.class);

  /**
   * A timestamp of a box's monotonic clock, which is meaningful to that box only.
   *
   * @param incarnation incarnation of the box
   * @param nanos reading of the clock
   */
  public record Stamp(long incarnation, long nanos) {}

  /**
   * An upstream that is leaving.
   *
   * @param host IP address
   * @param port TCP port
   * @param incarnation incarnation of the upstream that announced it
   */
  public record LeavingUpstream(String host, int port, long incarnation) {}

  /** Copies the collections. */
  public Heartbeat {
    versions = Map.copyOf(versions);
    leaving = List.copyOf(leaving);
  }
}
