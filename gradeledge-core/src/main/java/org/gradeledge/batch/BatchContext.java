package org.gradeledge.batch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.gradeledge.connection.LivenessChecker;
import org.gradeledge.connection.UpstreamCaller;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLog;
import org.gradeledge.limit.SendLimiter;
import org.gradeledge.retry.RetryBudget;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.MonotonicClock;

/**
 * Dependencies that the batch queues of a box share.
 *
 * @param box id of the box
 * @param pendingPieces pieces that admitted requests will submit
 * @param limitsByService limits of a service's upstreams, empty for a service without batching
 * @param releaser releases results at their upstreams
 */
record BatchContext(
    String box,
    MonotonicClock clock,
    UpstreamRegistry upstreams,
    UpstreamLoads loads,
    RetryBudget retryBudget,
    UpstreamCaller caller,
    LivenessChecker livenessChecker,
    SendLimiter sendLimiter,
    StageProtocol protocol,
    EventLog events,
    StageMeter meter,
    PendingPieces pendingPieces,
    Function<String, Optional<BatchLimits>> limitsByService,
    Consumer<List<String>> releaser) {

  Optional<BatchLimits> limits(String service) {
    return limitsByService.apply(service);
  }

  /** Returns the zone that stores most inputs of a group, or else the zone of its consumer. */
  String zoneOfInputs(StageGroup group) {
    return group.inputs().stream()
        .flatMap(handle -> zoneOf(handle).stream())
        .collect(Collectors.groupingBy(zone -> zone, Collectors.counting()))
        .entrySet()
        .stream()
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey)
        .orElse(group.zone());
  }

  /** Returns the zone of the upstream that stores a result. */
  Optional<String> zoneOf(String handle) {
    return upstreams.atAddress(protocol.addressOf(handle)).map(UpstreamRecord::zone);
  }

  void release(List<String> handles) {
    if (!handles.isEmpty()) {
      releaser.accept(handles);
    }
  }
}
