package org.gradeledge.synchronization;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gradeledge.peer.PeerMessageType;

/**
 * What a box tells each of its peers every heartbeat period.
 *
 * @param sent stamp of the sender's own clock; the receiver sends it back
 * @param echo the last stamp that the sender got from the receiver, absent before the first
 * @param serving whether the sender's own membership is confirmed
 * @param confirms whether the sender serves and knows the receiver as a member
 * @param versions versions in force at the sender by pipeline
 * @param leaving upstreams that said that they leave
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
   * A moment on a box's monotonic clock; means nothing to any other box.
   *
   * @param incarnation incarnation of the box whose clock it is
   * @param nanos the moment
   */
  public record Stamp(long incarnation, long nanos) {}

  /**
   * An upstream that is leaving.
   *
   * @param host IP number
   * @param port TCP port
   * @param incarnation its incarnation that said so
   */
  public record LeavingUpstream(String host, int port, long incarnation) {}

  /** Copies the collections. */
  public Heartbeat {
    versions = Map.copyOf(versions);
    leaving = List.copyOf(leaving);
  }
}
