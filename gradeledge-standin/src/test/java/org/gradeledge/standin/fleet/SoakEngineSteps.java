package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** What a run does to single engines, and what each must see of it. Thread-safe. */
final class SoakEngineSteps {

  private static final long LEAVING_BOUND_MILLIS = 2_000;
  private static final long LEAVING_SLACK_MILLIS = 500;

  /** A limit must be kept so long after it was first named. */
  private static final long LIMIT_KNOWN_MILLIS = 3_000;

  private static final long LIMIT_WATCHED_MILLIS = 6_000;
  private static final long TURNED_AWAY_MILLIS = 2_000;

  /** A start that has left, and how many requests it had run when its bound was over. */
  private record Left(FleetEngine engine, int start, int ranByThen) {

    boolean gotMore() {
      return engine.executedDuring(start) > ranByThen;
    }
  }

  private final SoakEngines engines;
  private final Consumer<String> allServing;
  private final Consumer<String> broken;
  private final int patience;
  private final List<Left> left = new CopyOnWriteArrayList<>();

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
    this.allServing = allServing;
    this.broken = broken;
    this.patience = patience;
  }

  /** Lets an engine name a limit while nothing else is wrong: it must be kept. */
  void limitInCalm(FleetEngine engine, double perSecond) throws InterruptedException {
    allServing.accept("before an engine names a limit");
    engine.rateLimit().announce(String.valueOf(perSecond));
    SoakRun.last(LIMIT_KNOWN_MILLIS * patience);
    int first = engine.rateLimit().requestCount();
    SoakRun.last(LIMIT_WATCHED_MILLIS);
    long most = engine.rateLimit().maxInWindowAfter(first);
    engine.rateLimit().withdraw();
    if (most > SoakChecks.mostOfLimit(perSecond)) {
      broken.accept(engine.id() + " takes " + perSecond + " a second and got " + most + " in 4 s");
    }
    allServing.accept("after an engine names no limit any more");
  }

  /** Takes an engine away: after the bound it must get no new work. */
  void leave(FleetEngine leaving) throws IOException, InterruptedException {
    allServing.accept("before an engine leaves");
    engines.add(leaving.kind());
    engines.remove(leaving);
    engines.list(leaving, "draining");
    awaitBound();
    left.add(
        new Left(leaving, leaving.incarnation(), leaving.executedDuring(leaving.incarnation())));
  }

  /** Takes an engine away, and starts it again under its id once it must get no new work. */
  void leaveAndComeBack(FleetEngine engine) throws IOException, InterruptedException {
    allServing.accept("before an engine leaves to come back");
    int start = engine.incarnation();
    engines.list(engine, "draining");
    awaitBound();
    int ranByThen = engine.executedDuring(start);
    engine.restart();
    left.add(new Left(engine, start, ranByThen));
    engines.list(engine, "ready");
    allServing.accept("after an engine came back under its id");
  }

  /** Lets an engine crash and start again under its id. */
  void startAgain(FleetEngine engine) throws IOException {
    engine.restart();
    engines.list(engine, "ready");
  }

  /** The same while nothing else is wrong. */
  void startAgainInCalm(FleetEngine engine) throws IOException, InterruptedException {
    allServing.accept("before an engine starts again");
    startAgain(engine);
    awaitBound();
    int askedByThen = engine.staleHandles().size();
    allServing.accept("after an engine started again");
    if (engine.staleHandles().size() > askedByThen) {
      broken.accept(engine.id() + " was asked about results of the start before");
    }
  }

  /**
   * Has an engine say in its answers that it leaves, and starts it again under its id some time
   * later; what it got meanwhile is judged in the end.
   */
  void announceLeaving(FleetEngine engine, long millis) throws IOException, InterruptedException {
    engine.announcements().announceLeaving("1");
    SoakRun.last(millis);
    engine.announcements().withdraw();
    engine.restart();
    engines.list(engine, "ready");
  }

  /** Has an engine turn requests away for some seconds while nothing else is wrong. */
  void turnAwayInCalm(FleetEngine engine, int seconds) throws InterruptedException {
    allServing.accept("before an engine turns requests away");
    engine.announcements().announceBackoff(String.valueOf(seconds));
    SoakRun.last(TURNED_AWAY_MILLIS * patience);
    engine.announcements().withdraw();
    allServing.accept("after an engine turned requests away");
  }

  private void awaitBound() throws InterruptedException {
    SoakRun.last((LEAVING_BOUND_MILLIS + LEAVING_SLACK_MILLIS) * patience);
  }

  /** Notes the starts that got work after they had left. */
  void judge() {
    left.stream()
        .filter(Left::gotMore)
        .forEach(each -> broken.accept(each.engine().id() + " got work after it had left"));
  }
}
