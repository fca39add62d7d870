package org.gradeledge.relay;

import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * The results of its stages that a request takes to its upstream, and when they are given up.
 * Confined to the event loop.
 */
final class RequestInputs {

  private final String service;
  private final StagePlan plan;
  private final InputRelease release;
  private List<String> handles = List.of();
  private boolean remade;

  RequestInputs(String service, StagePlan plan, InputRelease release) {
    this.service = service;
    this.plan = plan;
    this.release = release;
  }

  /** Notes where the results lie. */
  void made(List<String> results) {
    handles = results;
  }

  List<String> handles() {
    return handles;
  }

  /** Notes that an upstream has the request, and gives the inputs up once it has fetched them. */
  void sent(BooleanSupplier stillUnderWay) {
    if (handles.isEmpty()) {
      return;
    }
    release.afterFetching(
        service,
        () -> {
          if (stillUnderWay.getAsBoolean()) {
            plan.freeAll();
          }
        });
  }

  /** Notes that an upstream did not find them; returns whether they may be made again, once. */
  boolean wereGone() {
    release.inputsWereGone(service);
    boolean again = !plan.isEmpty() && !remade;
    remade = true;
    return again;
  }
}
