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
  private static final Duration RECOVERY = Duration.ofSeconds(12);

  private static final long WORD_SEEDS = 0x5eed;
  private static final long SIGNAL_SEEDS = 0x51617a1;

  private final Random seeds;
  private final Random startSeeds;
  private final Random wordSeeds;
  private final Random signalSeeds;
  private final Path folder;
  private final int patience;
  private final long endMillis;
  private final StoreStandIn store = new StoreStandIn();
  private final SoakEngines engines;
  private final List<SoakBox> boxes = new ArrayList<>();
  private final SoakEngineSteps engineSteps;
  private final List<SoakChecks.PlannedStop> stops = new CopyOnWriteArrayList<>();
  private final List<String> broken = new CopyOnWriteArrayList<>();
  private final List<String> steps = new CopyOnWriteArrayList<>();
  private final ReadWriteLock calm = new ReentrantReadWriteLock(true);
  private final SoakCallers callers;
  private final SoakConfiguration configuration = new SoakConfiguration(store);

  /**
   * Prepares a run; nothing is started yet.
   *
   * @param patience by how much the bounds of time are stretched on a machine that does other work
   */
  SoakRun(long seed, Duration length, int boxCount, int patience, Path folder) throws IOException {
    this.seeds = new Random(seed);
    this.startSeeds = new Random(~seed);
    this.wordSeeds = new Random(seed ^ WORD_SEEDS);
    this.signalSeeds = new Random(seed ^ SIGNAL_SEEDS);
    this.engines = new SoakEngines(store, seeds);
    this.patience = patience;
    this.engineSteps = new SoakEngineSteps(engines, this::expectAllServing, broken::add, patience);
    this.folder = folder;
    this.callers = new SoakCallers("s" + seed);
    this.endMillis = SoakCallers.millis() + length.toMillis();
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
    ExecutorService series = Executors.newFixedThreadPool(SERIES + 3);
    List<Future<?>> running = new ArrayList<>();
    for (int i = 0; i < SERIES; i++) {
      Random random = new Random(seeds.nextLong());
      running.add(series.submit(() -> playOneSeries(SoakStep.values(), random)));
    }
    running.add(series.submit(() -> playOneSeries(SoakStartStep.values(), startSeeds)));
    running.add(series.submit(() -> playOneSeries(SoakWordStep.values(), wordSeeds)));
    running.add(series.submit(() -> playOneSeries(SoakSignalStep.values(), signalSeeds)));
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

  SoakEngineSteps engineSteps() {
    return engineSteps;
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
  void addRoute() {
    callers.added(configuration.addRoute());
  }

  /** Operator and engines write again what the store may have lost. */
  void writeAgain() {
    configuration.write();
    engines.listAll();
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
    List<ReceivedRequest> ran = engines.ran();
    broken.addAll(SoakChecks.ownAnswers(callers.calls()));
    broken.addAll(SoakChecks.atMostOnce(ran));
    broken.addAll(SoakChecks.notRunIsTrue(callers.calls(), ran));
    broken.addAll(SoakChecks.neverBack(callers.calls()));
    broken.addAll(SoakChecks.stopCutsNothing(callers.calls(), ran, stops));
    broken.addAll(SoakSignalChecks.leavingIsHeeded(callers.calls(), engines.all()));
    broken.addAll(SoakSignalChecks.backoffIsHeeded(callers.calls(), engines.all()));
    engineSteps.judge();
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
