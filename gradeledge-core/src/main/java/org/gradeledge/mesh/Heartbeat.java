package org.gradeledge.mesh;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Map;
import org.gradeledge.discovery.ZoneEvacuations;
import org.gradeledge.limit.LimitReport;
import org.gradeledge.selection.BoxLoad;

/**
 * What a box tells all others again and again.
 *
 * @param zone its availability zone
 * @param leaving whether it is stopping
 * @param relayRequested whether the box that hears it directly is asked to pass it on
 * @param weight how much work for others it can bear; see RelaySettings
 * @param configurationRevision revision of the configuration that it has in force
 * @param upstreamsRevision revision at which its list of upstreams last said something new
 * @param aliveBoxes addresses of the boxes that it hears; left out where heartbeats are relayed
 * @param loadShares what it has under way, by upstream
 * @param backlogMillis how long the stage work that waits at it keeps each service busy, for each
 *     priority what is as urgent or more
 * @param pendingPieces pieces that its requests will want made, by service and priority
 * @param evacuations zones whose upstreams take nothing new
 * @param quarantineDigest a number that is the same where the same is known of requests that end
 *     upstreams
 * @param listTrust code of the {@link org.gradeledge.discovery.ListTrust} that it has in its list
 *     of upstreams
 * @param sequenceNumber rises with each heartbeat of a box, also over its lives; 0 from older boxes
 * @param limits limits that upstreams named to it or to others that told it
 * @param leavingUpstreams starts of upstreams that told it in an answer that they leave, while the
 *     list does not say so
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

  /** Returns whether the box knows so few others that it tells all of them what it hears. */
  boolean listsBoxes() {
    return !aliveBoxes.isEmpty();
  }

  /** Returns the same with the boxes that are heard. */
  Heartbeat withBoxes(List<String> heard) {
    return new Heartbeat(
        zone,
        leaving,
        relayRequested,
        weight,
        configurationRevision,
        upstreamsRevision,
        heard,
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

  /** Returns the same, to be passed on. */
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
