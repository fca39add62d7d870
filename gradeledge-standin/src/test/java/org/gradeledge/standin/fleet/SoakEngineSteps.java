package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** What a run does to single engines, and what each must see of it. Thread-safe. */
final class SoakEngineSteps {

  private static final long LEAVING_BOUND_MILLIS = 2_000;
  private static final long LEAVING_MARGIN_MILLIS = 500;

  /** A limit must be kept so long after it was first named. */
  private static final long LIMIT_PROPAGATION_MILLIS = 3_000;

  private static final long LIMIT_OBSERVATION_MILLIS = 6_000;
  private static final long BACKOFF_MILLIS = 2_000;

  /** A start that has left, and how many requests it had run when its bound was over. */
  private record DepartedEngine(FleetEngine engine, int incarnation, int runsAtBound) {

    boolean hasRunMore() {
      return engine.ranDuring(incarnation) > runsAtBound;
    }
  }

  private final SoakEngines engines;
  private final Consumer<String> servingCheck;
  private final Consumer<String> violations;
  private final int timeoutFactor;
  private final List<DepartedEngine> departedEngines = new CopyOnWriteArrayList<>();

  /**
   * Creates them.
   *
   * @param allServing notes the boxes that do not serve, with when that is
   * @param broken takes what was broken
   * @param patience by how much the bounds of time are stretched
   */
  SoakEngineSteps(
      SoakEngines engines, Consumer<String> allServing, Consumer<String> broken, int patience) {
    this.engines = engines;
    this.servingCheck = allServing;
    this.violations = broken;
    this.timeoutFactor = patience;
  }

  /** Lets an engine name a limit while nothing else is wrong: it must be kept. */
  void checkLimit(FleetEngine engine, double perSecond) throws InterruptedException {
    servingCheck.accept("before an engine names a limit");
    engine.limit().name(String.valueOf(perSecond));
    SoakRun.pause(LIMIT_PROPAGATION_MILLIS * timeoutFactor);
    int first = engine.limit().arrived();
    SoakRun.pause(LIMIT_OBSERVATION_MILLIS);
    long most = engine.limit().mostInWindowAfter(first);
    engine.limit().withdraw();
    if (most > SoakChecks.maxRequestsInWindow(perSecond)) {
      violations.accept(
          engine.id() + " takes " + perSecond + " a second and got " + most + " in 4 s");
    }
    servingCheck.accept("after an engine names no limit any more");
  }

  /** Takes an engine away: after the bound it must get no new work. */
  void checkLeaving(FleetEngine leaving) throws IOException, InterruptedException {
    servingCheck.accept("before an engine leaves");
    engines.add(leaving.kind());
    engines.remove(leaving);
    engines.putRow(leaving, "draining");
    awaitLeavingBound();
    departedEngines.add(
        new DepartedEngine(leaving, leaving.start(), leaving.ranDuring(leaving.start())));
  }

  /** Takes an engine away, and starts it again under its id once it must get no new work. */
  void checkLeavingAndRestart(FleetEngine engine) throws IOException, InterruptedException {
    servingCheck.accept("before an engine leaves to come back");
    int start = engine.start();
    engines.putRow(engine, "draining");
    awaitLeavingBound();
    int ranByThen = engine.ranDuring(start);
    engine.startAgain();
    departedEngines.add(new DepartedEngine(engine, start, ranByThen));
    engines.putRow(engine, "ready");
    servingCheck.accept("after an engine came back under its id");
  }

  /** Lets an engine crash and start again under its id. */
  void restart(FleetEngine engine) throws IOException {
    engine.startAgain();
    engines.putRow(engine, "ready");
  }

  /** The same while nothing else is wrong. */
  void checkRestart(FleetEngine engine) throws IOException, InterruptedException {
    servingCheck.accept("before an engine starts again");
    restart(engine);
    awaitLeavingBound();
    int askedByThen = engine.askedOfOthers().size();
    servingCheck.accept("after an engine started again");
    if (engine.askedOfOthers().size() > askedByThen) {
      violations.accept(engine.id() + " was asked about results of the start before");
    }
  }

  /**
   * Has an engine say in its answers that it leaves, and starts it again under its id some time
   * later; what it got meanwhile is judged in the end.
   */
  void announceLeaving(FleetEngine engine, long millis) throws IOException, InterruptedException {
    engine.signals().announceLeaving("1");
    SoakRun.pause(millis);
    engine.signals().withdraw();
    engine.startAgain();
    engines.putRow(engine, "ready");
  }

  /** Has an engine turn requests away for some seconds while nothing else is wrong. */
  void checkBackoff(FleetEngine engine, int seconds) throws InterruptedException {
    servingCheck.accept("before an engine turns requests away");
    engine.signals().turnAway(String.valueOf(seconds));
    SoakRun.pause(BACKOFF_MILLIS * timeoutFactor);
    engine.signals().withdraw();
    servingCheck.accept("after an engine turned requests away");
  }

  private void awaitLeavingBound() throws InterruptedException {
    SoakRun.pause((LEAVING_BOUND_MILLIS + LEAVING_MARGIN_MILLIS) * timeoutFactor);
  }

  /** Notes the starts that got work after they had left. */
  void checkDepartedEngines() {
    departedEngines.stream()
        .filter(DepartedEngine::hasRunMore)
        .forEach(each -> violations.accept(each.engine().id() + " got work after it had left"));
  }
}
