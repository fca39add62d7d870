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
 * What the queues of a box share.
 *
 * @param box name of the box
 * @param toCome pieces that are on their way
 * @param limitsOf limits of a service's upstreams, empty where it makes no pieces
 * @param freeing gives results up
 */
record BatchServices(
    String box,
    MonotonicClock clock,
    UpstreamRegistry upstreams,
    UpstreamLoads board,
    RetryBudget budget,
    UpstreamCaller caller,
    LivenessChecker ends,
    SendLimiter sending,
    StageProtocol protocol,
    EventLog events,
    PiecesToCome toCome,
    Function<String, Optional<BatchLimits>> limitsOf,
    Consumer<List<String>> freeing) {

  Optional<BatchLimits> limits(String service) {
    return limitsOf.apply(service);
  }

  /**
   * Returns the zone that most inputs of a group lie in, else the one its results are wanted in.
   */
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

  /** Returns the zone that a result lies in. */
  Optional<String> zoneOf(String handle) {
    return upstreams.atAddress(protocol.addressOf(handle)).map(UpstreamRecord::zone);
  }

  void free(List<String> handles) {
    if (!handles.isEmpty()) {
      freeing.accept(handles);
    }
  }
}
