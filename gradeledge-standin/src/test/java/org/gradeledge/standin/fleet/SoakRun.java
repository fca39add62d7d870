package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReadWriteLock;
import java.util.concurrent.locks.ReentrantReadWriteLock;

/**
 * One run of the soak: real boxes, stand-ins of store and engines, links that are harmed, callers,
 * and several series of faults at a time, all drawn from one seed. A step that needs calm around it
 * to be judged (a planned stop, an engine that leaves) holds the other series up.
 */
final class SoakRun implements AutoCloseable {

  private static final int CALLERS_OF_BOX = 3;
  private static final int SERIES = 3;
  private static final long LEAVING_BOUND_MILLIS = 2_000;
  private static final long LEAVING_SLACK_MILLIS = 500;
  private static final Duration RECOVERY = Duration.ofSeconds(12);

  /** A start that has left, and how many requests it had run when its bound was over. */
  private record Left(FleetEngine engine, int start, int ranByThen) {

    boolean gotMore() {
      return engine.ranDuring(start) > ranByThen;
    }
  }

  private final Random seeds;
  private final Random startSeeds;
  private final Path folder;
  private final int patience;
  private final long endMillis;
  private final StoreStandIn store = new StoreStandIn();
  private final SoakEngines engines;
  private final List<SoakBox> boxes = new ArrayList<>();
  private final List<Left> left = new CopyOnWriteArrayList<>();
  private final List<SoakChecks.PlannedStop> stops = new CopyOnWriteArrayList<>();
  private final List<String> broken = new CopyOnWriteArrayList<>();
  private final List<String> steps = new CopyOnWriteArrayList<>();
  private final ReadWriteLock calm = new ReentrantReadWriteLock(true);
  private final SoakCallers callers;
  private int version = 1;
  private String routes = "";

  /**
   * Prepares a run; nothing is started yet.
   *
   * @param patience by how much the bounds of time are stretched on a machine that does other work
   */
  SoakRun(long seed, Duration length, int boxCount, int patience, Path folder) throws IOException {
    this.seeds = new Random(seed);
    this.startSeeds = new Random(~seed);
    this.engines = new SoakEngines(store, seeds);
    this.patience = patience;
    this.folder = folder;
    this.callers = new SoakCallers("s" + seed);
    this.endMillis = SoakCallers.millis() + length.toMillis();
    store.put("op", "config", FleetConfiguration.of(version, routes));
    for (EngineKind kind : EngineKind.values()) {
      engines.add(kind);
      engines.add(kind);
    }
    for (int number = 0; number < boxCount; number++) {
      boxes.add(new SoakBox(folder, number, store.address()));
    }
  }

  /** Plays the run; returns what was broken, with the steps that led to it. */
  List<String> play() throws IOException, InterruptedException, ExecutionException {
    for (SoakBox box : boxes) {
      box.start(allSeeds());
    }
    for (SoakBox box : boxes) {
      expectServing(box, "at the start");
      callers.start(box, CALLERS_OF_BOX);
    }
    playSeries();
    lift();
    expectAllServing("after all faults");
    callers.stop();
    judge();
    return broken.isEmpty() ? List.of() : all();
  }

  private List<String> all() {
    List<String> text = new ArrayList<>(broken);
    text.addAll(steps);
    return text;
  }

  int callCount() {
    return callers.calls().size();
  }

  private void playSeries() throws InterruptedException, ExecutionException {
    ExecutorService series = Executors.newFixedThreadPool(SERIES + 1);
    List<Future<?>> running = new ArrayList<>();
    for (int i = 0; i < SERIES; i++) {
      Random random = new Random(seeds.nextLong());
      running.add(series.submit(() -> playOneSeries(SoakStep.values(), random)));
    }
    running.add(series.submit(() -> playOneSeries(SoakStartStep.values(), startSeeds)));
    for (Future<?> each : running) {
      each.get();
    }
    series.shutdown();
  }

  private Void playOneSeries(SoakAction[] all, Random random)
      throws IOException, InterruptedException {
    while (SoakCallers.millis() < endMillis) {
      SoakAction step = all[random.nextInt(all.length)];
      Lock lock = step.needsCalm() ? calm.writeLock() : calm.readLock();
      lock.lock();
      try {
        note(step.name());
        step.play(this, random);
        note(step.name() + " over");
      } finally {
        lock.unlock();
      }
    }
    return null;
  }

  void note(String step) {
    steps.add(SoakCallers.millis() + " " + step);
  }

  SoakBox anyBox(Random random) {
    return boxes.get(random.nextInt(boxes.size()));
  }

  SoakEngines engines() {
    return engines;
  }

  StoreStandIn store() {
    return store;
  }

  List<String> allSeeds() {
    return boxes.stream().map(SoakBox::seed).toList();
  }

  /** Waits as long as a fault is to last. */
  static void last(long millis) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(millis);
  }

  /** Stops a box as planned while nothing else is wrong, and starts it again. */
  void stopAsPlanned(SoakBox box) throws IOException {
    expectServing(box, "before a planned stop");
    long from = SoakCallers.millis();
    int life = box.life();
    int exit = box.stop();
    stops.add(new SoakChecks.PlannedStop(box.number(), life, from, SoakCallers.millis()));
    if (exit != 0) {
      broken.add("box " + box.number() + " ended with " + exit + " after SIGTERM");
    }
    box.start(allSeeds());
    expectServing(box, "after a planned stop");
  }

  /** Adds a route, which callers ask for from then on. */
  synchronized void addRoute() {
    version++;
    String prefix = "/add-" + version + "/";
    routes += "," + FleetConfiguration.route(prefix, "idempotent", "plain", "");
    store.put("op", "config", FleetConfiguration.of(version, routes));
    callers.added(prefix);
  }

  /** Takes an engine away: after the bound it must get no new work. */
  void leave(FleetEngine leaving) throws IOException, InterruptedException {
    expectAllServing("before an engine leaves");
    engines.add(leaving.kind());
    engines.remove(leaving);
    engines.list(leaving, "draining");
    awaitBound();
    left.add(new Left(leaving, leaving.start(), leaving.ranDuring(leaving.start())));
  }

  /** Takes an engine away, and starts it again under its id once it must get no new work. */
  void leaveAndComeBack(FleetEngine engine) throws IOException, InterruptedException {
    expectAllServing("before an engine leaves to come back");
    int start = engine.start();
    engines.list(engine, "draining");
    awaitBound();
    int ranByThen = engine.ranDuring(start);
    engine.startAgain();
    left.add(new Left(engine, start, ranByThen));
    engines.list(engine, "ready");
    expectAllServing("after an engine came back under its id");
  }

  /** Lets an engine crash and start again under its id. */
  void startAgain(FleetEngine engine) throws IOException {
    engine.startAgain();
    engines.list(engine, "ready");
  }

  /** The same while nothing else is wrong. */
  void startAgainInCalm(FleetEngine engine) throws IOException, InterruptedException {
    expectAllServing("before an engine starts again");
    startAgain(engine);
    awaitBound();
    int askedByThen = engine.askedOfOthers().size();
    expectAllServing("after an engine started again");
    if (engine.askedOfOthers().size() > askedByThen) {
      broken.add(engine.id() + " was asked about results of the start before");
    }
  }

  private void awaitBound() throws InterruptedException {
    last((LEAVING_BOUND_MILLIS + LEAVING_SLACK_MILLIS) * patience);
  }

  private void lift() throws IOException {
    store.setFault(StoreFault.NONE);
    engines.lift();
    boxes.forEach(box -> box.storeLink().set(FaultyLink.Fault.NONE));
  }

  private void expectAllServing(String when) {
    boxes.forEach(box -> expectServing(box, when));
  }

  /** Notes a box that does not serve every kind of request within the bound for recovery. */
  private void expectServing(SoakBox box, String when) {
    long until = SoakCallers.millis() + RECOVERY.toMillis() * patience;
    HttpClient client = FleetCaller.newClient();
    for (String path : FleetConfiguration.PATHS) {
      SoakCall call = callers.call(client, box, path);
      while (!call.hasStatus(200) && SoakCallers.millis() < until) {
        call = callers.call(client, box, path);
      }
      if (!call.hasStatus(200)) {
        broken.add("box " + box.number() + " does not serve " + path + " " + when + ": " + call);
      }
    }
  }

  private void judge() {
    List<SeenRequest> ran = engines.ran();
    broken.addAll(SoakChecks.ownAnswers(callers.calls()));
    broken.addAll(SoakChecks.atMostOnce(ran));
    broken.addAll(SoakChecks.notRunIsTrue(callers.calls(), ran));
    broken.addAll(SoakChecks.neverBack(callers.calls()));
    broken.addAll(SoakChecks.stopCutsNothing(callers.calls(), ran, stops));
    left.stream()
        .filter(Left::gotMore)
        .forEach(each -> broken.add(each.engine().id() + " got work after it had left"));
  }

  @Override
  public void close() throws IOException {
    for (SoakBox box : boxes) {
      box.close();
    }
    engines.close();
    store.close();
  }
}
