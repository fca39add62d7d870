package org.gradeledge.batch;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.gradeledge.connection.UpstreamCaller;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLog;
import org.gradeledge.retry.RetryBudget;
import org.gradeledge.selection.LoadBoard;
import org.gradeledge.time.MonotonicClock;

/**
 * What the queues of a box share.
 *
 * @param box name of the box
 * @param limitsOf limits of a service's upstreams, empty where it makes no pieces
 * @param freeing gives results up
 */
record BatchServices(
    String box,
    MonotonicClock clock,
    UpstreamRegistry upstreams,
    LoadBoard board,
    RetryBudget budget,
    UpstreamCaller caller,
    StageProtocol protocol,
    EventLog events,
    Function<String, Optional<BatchLimits>> limitsOf,
    Consumer<List<String>> freeing) {

  Optional<BatchLimits> limits(String service) {
    return limitsOf.apply(service);
  }

  void free(List<String> handles) {
    if (!handles.isEmpty()) {
      freeing.accept(handles);
    }
  }
}
