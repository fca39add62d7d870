package org.gradeledge.mesh;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Map;
import org.gradeledge.discovery.ZoneEvacuations;
import org.gradeledge.limit.LimitReport;
import org.gradeledge.selection.BoxLoad;

/**
 * State that a box sends to the other boxes periodically.
 *
 * @param zone availability zone of the box
 * @param leaving whether the box is stopping
 * @param relayRequested whether the receiver is requested to forward the heartbeat
 * @param weight capacity for work of others; see RelaySettings
 * @param configurationRevision revision of the configuration in force
 * @param upstreamsRevision revision of the last change in the list of upstreams
 * @param aliveBoxes addresses of the boxes that are alive; empty where heartbeats are relayed
 * @param loadShares its requests in flight, by upstream
 * @param backlogMillis time for which its waiting stage work occupies each service; for each
 *     priority, the work of that priority and all higher ones
 * @param pendingPieces pieces that its requests are going to require, by service and priority
 * @param evacuations evacuated zones
 * @param quarantineDigest digest of its records of requests that crash upstreams
 * @param listTrust code of its {@link org.gradeledge.discovery.ListTrust} in the list of upstreams
 * @param sequenceNumber increases with each heartbeat of a box, also across restarts; 0 from older
 *     versions
 * @param limits limits that upstreams announced to it or to boxes that reported them
 * @param leavingUpstreams ids of upstream incarnations that announced in a response that they are
 *     leaving, while the list does not show it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record Heartbeat(
    String zone,
    boolean leaving,
    boolean relayRequested,
    int weight,
    long configurationRevision,
    long upstreamsRevision,
    List<String> aliveBoxes,
    Map<String, BoxLoad> loadShares,
    Map<String, List<Long>> backlogMillis,
    Map<String, List<Long>> pendingPieces,
    ZoneEvacuations evacuations,
    long quarantineDigest,
    int listTrust,
    long sequenceNumber,
    List<LimitReport> limits,
    List<String> leavingUpstreams) {

  /** Returns whether the sender uses no relays and therefore lists the boxes that are alive. */
  boolean listsBoxes() {
    return !aliveBoxes.isEmpty();
  }

  /** Returns a copy that lists the given boxes. */
  Heartbeat withBoxes(List<String> boxes) {
    return new Heartbeat(
        zone,
        leaving,
        relayRequested,
        weight,
        configurationRevision,
        upstreamsRevision,
        boxes,
        loadShares,
        backlogMillis,
        pendingPieces,
        evacuations,
        quarantineDigest,
        listTrust,
        sequenceNumber,
        limits,
        leavingUpstreams);
  }

  /** Returns a copy that requests the receiver to forward it. */
  Heartbeat withRelayRequested() {
    return new Heartbeat(
        zone,
        leaving,
        true,
        weight,
        configurationRevision,
        upstreamsRevision,
        aliveBoxes,
        loadShares,
        backlogMillis,
        pendingPieces,
        evacuations,
        quarantineDigest,
        listTrust,
        sequenceNumber,
        limits,
        leavingUpstreams);
  }
}
