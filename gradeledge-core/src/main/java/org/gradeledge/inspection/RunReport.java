package org.gradeledge.inspection;

import java.util.Map;
import java.util.OptionalLong;

/**
 * What an upstream reports of its runs.
 *
 * @param waitingRequests number of requests that wait for their run
 * @param eventsByRequest number of events that were made so far, by the id of the request
 * @since 0.6
 */
public record RunReport(long waitingRequests, Map<String, Long> eventsByRequest) {

  /** Copies the map. */
  public RunReport {
    eventsByRequest = Map.copyOf(eventsByRequest);
  }

  /** Returns the number of events of a run; empty if the request is not running. */
  OptionalLong eventsOf(String requestId) {
    Long events = eventsByRequest.get(requestId);
    return events == null ? OptionalLong.empty() : OptionalLong.of(events);
  }
}
