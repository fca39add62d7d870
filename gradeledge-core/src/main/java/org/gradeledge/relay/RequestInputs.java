package org.gradeledge.relay;

import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * The stage results that one request uses as inputs, and their release. Confined to the event loop.
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

  /** Sets the handles of the results. */
  void setHandles(List<String> newHandles) {
    handles = newHandles;
  }

  List<String> handles() {
    return handles;
  }

  /** Returns whether the request can be sent now: it needs no inputs, or they are not released. */
  boolean areAvailable() {
    return stagePlan.isEmpty() || !handles.isEmpty();
  }

  /** Releases the inputs; the request can be sent again only once they are computed again. */
  void release() {
    handles = List.of();
    stagePlan.releaseAll();
  }

  /** Schedules the release of the inputs after the request was sent. */
  void scheduleRelease(BooleanSupplier stillInFlight) {
    if (handles.isEmpty()) {
      return;
    }
    releasePolicy.scheduleRelease(
        service,
        () -> {
          if (stillInFlight.getAsBoolean()) {
            release();
          }
        });
  }

  /**
   * Records that an upstream has not found the inputs; returns whether they may be computed again,
   * which is allowed once.
   */
  boolean recordMissing() {
    releasePolicy.suspendEarlyRelease(service);
    boolean mayRecompute = !stagePlan.isEmpty() && !recomputed;
    recomputed = true;
    return mayRecompute;
  }
}
