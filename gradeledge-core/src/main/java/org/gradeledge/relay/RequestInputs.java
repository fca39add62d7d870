package org.gradeledge.relay;

import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * The results of its stages that a request takes to its upstream, and when they are given up.
 * Confined to the event loop.
 */
final class RequestInputs {

  private final String service;
  private final StagePlan stagePlan;
  private final InputReleasePolicy releasePolicy;
  private List<String> handles = List.of();
  private boolean recomputed;

  RequestInputs(String service, StagePlan plan, InputReleasePolicy release) {
    this.service = service;
    this.stagePlan = plan;
    this.releasePolicy = release;
  }

  /** Notes where the results lie. */
  void setHandles(List<String> results) {
    handles = results;
  }

  List<String> handles() {
    return handles;
  }

  /** Notes that an upstream has the request, and gives the inputs up once it has fetched them. */
  void scheduleRelease(BooleanSupplier stillUnderWay) {
    if (handles.isEmpty()) {
      return;
    }
    releasePolicy.scheduleRelease(
        service,
        () -> {
          if (stillUnderWay.getAsBoolean()) {
            stagePlan.releaseAll();
          }
        });
  }

  /** Notes that an upstream did not find them; returns whether they may be made again, once. */
  boolean recordMissing() {
    releasePolicy.suspendEarlyRelease(service);
    boolean again = !stagePlan.isEmpty() && !recomputed;
    recomputed = true;
    return again;
  }
}
