package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** Steps that act on one engine and check which requests it receives. Thread-safe. */
final class SoakEngineSteps {

  private static final long LEAVING_BOUND_MILLIS = 2_000;
  private static final long LEAVING_MARGIN_MILLIS = 500;

  /** Time within which boxes apply an announced limit. */
  private static final long LIMIT_PROPAGATION_MILLIS = 3_000;

  private static final long LIMIT_OBSERVATION_MILLIS = 6_000;
  private static final long BACKOFF_MILLIS = 2_000;

  /** An incarnation that has left and the number of its runs at the end of the leaving bound. */
  private record DepartedEngine(FleetEngine engine, int incarnation, int runsAtBound) {

    boolean hasRunMore() {
      return engine.executedDuring(incarnation) > runsAtBound;
    }
  }

  private final SoakEngines engines;
  private final Consumer<String> servingCheck;
  private final Consumer<String> violations;
  private final int timeoutFactor;
  private final List<DepartedEngine> departedEngines = new CopyOnWriteArrayList<>();

  /**
   * Creates the steps.
   *
   * @param servingCheck checks that all boxes serve; takes the phase for the message
   * @param violations receives the violations
   * @param timeoutFactor factor for all time bounds
   */
  SoakEngineSteps(
      SoakEngines engines,
      Consumer<String> servingCheck,
      Consumer<String> violations,
      int timeoutFactor) {
    this.engines = engines;
    this.servingCheck = servingCheck;
    this.violations = violations;
    this.timeoutFactor = timeoutFactor;
  }

  /** Checks that boxes keep a limit that an engine announces while no fault is injected. */
  void checkLimit(FleetEngine engine, double perSecond) throws InterruptedException {
    servingCheck.accept("before an engine names a limit");
    engine.rateLimit().announce(String.valueOf(perSecond));
    SoakRun.pause(LIMIT_PROPAGATION_MILLIS * timeoutFactor);
    int requestsBefore = engine.rateLimit().requestCount();
    SoakRun.pause(LIMIT_OBSERVATION_MILLIS);
    long maxInWindow = engine.rateLimit().maxInWindowAfter(requestsBefore);
    engine.rateLimit().withdraw();
    if (maxInWindow > SoakChecks.maxRequestsInWindow(perSecond)) {
      violations.accept(
          engine.id() + " takes " + perSecond + " a second and got " + maxInWindow + " in 4 s");
    }
    servingCheck.accept("after an engine names no limit any more");
  }

  /** Replaces an engine; it must receive no work after the leaving bound. */
  void checkLeaving(FleetEngine leaving) throws IOException, InterruptedException {
    servingCheck.accept("before an engine leaves");
    engines.add(leaving.kind());
    engines.remove(leaving);
    engines.putRow(leaving, "draining");
    awaitLeavingBound();
    departedEngines.add(
        new DepartedEngine(
            leaving, leaving.incarnation(), leaving.executedDuring(leaving.incarnation())));
  }

  /** Drains an engine and restarts it under the same id after the leaving bound. */
  void checkLeavingAndRestart(FleetEngine engine) throws IOException, InterruptedException {
    servingCheck.accept("before an engine leaves to come back");
    int incarnation = engine.incarnation();
    engines.putRow(engine, "draining");
    awaitLeavingBound();
    int runsAtBound = engine.executedDuring(incarnation);
    engine.restart();
    departedEngines.add(new DepartedEngine(engine, incarnation, runsAtBound));
    engines.putRow(engine, "ready");
    servingCheck.accept("after an engine came back under its id");
  }

  /** Crashes an engine and restarts it under the same id. */
  void restart(FleetEngine engine) throws IOException {
    engine.restart();
    engines.putRow(engine, "ready");
  }

  /** Checks that no box requests results of the previous incarnation from a restarted engine. */
  void checkRestart(FleetEngine engine) throws IOException, InterruptedException {
    servingCheck.accept("before an engine starts again");
    restart(engine);
    awaitLeavingBound();
    int staleAtBound = engine.staleHandles().size();
    servingCheck.accept("after an engine started again");
    if (engine.staleHandles().size() > staleAtBound) {
      violations.accept(engine.id() + " was asked about results of the start before");
    }
  }

  /**
   * Lets an engine announce in responses that it leaves, and restarts it under the same id later.
   * {@link SoakAnnouncementChecks} checks at the end of the run which requests it received.
   */
  void announceLeaving(FleetEngine engine, long millis) throws IOException, InterruptedException {
    engine.announcements().announceLeaving("1");
    SoakRun.pause(millis);
    engine.announcements().withdraw();
    engine.restart();
    engines.putRow(engine, "ready");
  }

  /** Lets an engine request a backoff while no fault is injected. */
  void checkBackoff(FleetEngine engine, int seconds) throws InterruptedException {
    servingCheck.accept("before an engine turns requests away");
    engine.announcements().announceBackoff(String.valueOf(seconds));
    SoakRun.pause(BACKOFF_MILLIS * timeoutFactor);
    engine.announcements().withdraw();
    servingCheck.accept("after an engine turned requests away");
  }

  private void awaitLeavingBound() throws InterruptedException {
    SoakRun.pause((LEAVING_BOUND_MILLIS + LEAVING_MARGIN_MILLIS) * timeoutFactor);
  }

  /** Reports the incarnations that received work after they had left. */
  void checkDepartedEngines() {
    departedEngines.stream()
        .filter(DepartedEngine::hasRunMore)
        .forEach(each -> violations.accept(each.engine().id() + " got work after it had left"));
  }
}
