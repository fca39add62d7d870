package org.gradeledge.synchronization;

import java.util.List;
import java.util.Map;
import org.gradeledge.peer.PeerMessageType;

/**
 * What a box tells each of its peers every heartbeat period.
 *
 * @param serving whether the sender's own membership is confirmed
 * @param confirms whether the sender serves and knows the receiver as a member
 * @param versions versions in force at the sender by pipeline
 * @param leaving upstreams that said that they leave
 * @since 0.1
 */
public record Heartbeat(
    boolean serving, boolean confirms, Map<String, Long> versions, List<LeavingUpstream> leaving) {

  static final PeerMessageType<Heartbeat> TYPE =
      new PeerMessageType<>("heartbeat", Heartbeat.class);

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
