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

  private static final int CALLERS_PER_BOX = 3;
  private static final int FAULT_SERIES = 3;
  private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(12);

  private static final long LIMIT_SEED_MASK = 0x5eed;
  private static final long ANNOUNCEMENT_SEED_MASK = 0x51617a1;

  private final Random faultRandom;
  private final Random restartRandom;
  private final Random limitRandom;
  private final Random announcementRandom;
  private final Path folder;
  private final int timeoutFactor;
  private final long endMillis;
  private final StoreStandIn store = new StoreStandIn();
  private final SoakEngines engines;
  private final List<SoakBox> boxes = new ArrayList<>();
  private final SoakEngineSteps engineSteps;
  private final List<SoakChecks.PlannedStop> plannedStops = new CopyOnWriteArrayList<>();
  private final List<String> violations = new CopyOnWriteArrayList<>();
  private final List<String> stepLog = new CopyOnWriteArrayList<>();
  private final ReadWriteLock exclusionLock = new ReentrantReadWriteLock(true);
  private final SoakCallers callers;
  private final SoakConfiguration configuration = new SoakConfiguration(store);

  /**
   * Prepares a run; nothing is started yet.
   *
   * @param patience by how much the bounds of time are stretched on a machine that does other work
   */
  SoakRun(long seed, Duration length, int boxCount, int patience, Path folder) throws IOException {
    this.faultRandom = new Random(seed);
    this.restartRandom = new Random(~seed);
    this.limitRandom = new Random(seed ^ LIMIT_SEED_MASK);
    this.announcementRandom = new Random(seed ^ ANNOUNCEMENT_SEED_MASK);
    this.engines = new SoakEngines(store, faultRandom);
    this.timeoutFactor = patience;
    this.engineSteps =
        new SoakEngineSteps(engines, this::expectAllServing, violations::add, patience);
    this.folder = folder;
    this.callers = new SoakCallers("s" + seed);
    this.endMillis = SoakCallers.currentMillis() + length.toMillis();
    for (EngineKind kind : EngineKind.values()) {
      engines.add(kind);
      engines.add(kind);
    }
    for (int number = 0; number < boxCount; number++) {
      boxes.add(new SoakBox(folder, number, store.address()));
    }
  }

  /** Plays the run; returns what was broken, with the steps that led to it. */
  List<String> execute() throws IOException, InterruptedException, ExecutionException {
    for (SoakBox box : boxes) {
      box.start(seedAddresses());
    }
    for (SoakBox box : boxes) {
      expectServing(box, "at the start");
      callers.start(box, CALLERS_PER_BOX);
    }
    runAllSeries();
    clearFaults();
    expectAllServing("after all faults");
    callers.stop();
    checkResults();
    return violations.isEmpty() ? List.of() : violationsAndSteps();
  }

  private List<String> violationsAndSteps() {
    List<String> text = new ArrayList<>(violations);
    text.addAll(stepLog);
    return text;
  }

  int callCount() {
    return callers.calls().size();
  }

  private void runAllSeries() throws InterruptedException, ExecutionException {
    ExecutorService series = Executors.newFixedThreadPool(FAULT_SERIES + 3);
    List<Future<?>> running = new ArrayList<>();
    for (int i = 0; i < FAULT_SERIES; i++) {
      Random random = new Random(faultRandom.nextLong());
      running.add(series.submit(() -> runSeries(SoakFaultStep.values(), random)));
    }
    running.add(series.submit(() -> runSeries(SoakRestartStep.values(), restartRandom)));
    running.add(series.submit(() -> runSeries(SoakLimitAndRestoreStep.values(), limitRandom)));
    running.add(series.submit(() -> runSeries(SoakAnnouncementStep.values(), announcementRandom)));
    for (Future<?> each : running) {
      each.get();
    }
    series.shutdown();
  }

  private Void runSeries(SoakAction[] all, Random random) throws IOException, InterruptedException {
    while (SoakCallers.currentMillis() < endMillis) {
      SoakAction step = all[random.nextInt(all.length)];
      Lock lock = step.isExclusive() ? exclusionLock.writeLock() : exclusionLock.readLock();
      lock.lock();
      try {
        logStep(step.name());
        step.execute(this, random);
        logStep(step.name() + " over");
      } finally {
        lock.unlock();
      }
    }
    return null;
  }

  void logStep(String step) {
    stepLog.add(SoakCallers.currentMillis() + " " + step);
  }

  SoakBox randomBox(Random random) {
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

  List<String> seedAddresses() {
    return boxes.stream().map(SoakBox::peerAddress).toList();
  }

  /** Waits as long as a fault is to last. */
  static void pause(long millis) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(millis);
  }

  /** Stops a box as planned while nothing else is wrong, and starts it again. */
  void stopAsPlanned(SoakBox box) throws IOException {
    expectServing(box, "before a planned stop");
    long from = SoakCallers.currentMillis();
    int life = box.incarnation();
    int exit = box.stop();
    plannedStops.add(
        new SoakChecks.PlannedStop(box.number(), life, from, SoakCallers.currentMillis()));
    if (exit != 0) {
      violations.add("box " + box.number() + " ended with " + exit + " after SIGTERM");
    }
    box.start(seedAddresses());
    expectServing(box, "after a planned stop");
  }

  /** Adds a route, which callers ask for from then on. */
  void addRoute() {
    callers.addPath(configuration.addRoute());
  }

  /** Operator and engines write again what the store may have lost. */
  void rewriteStore() {
    configuration.write();
    engines.putAllRows();
  }

  private void clearFaults() throws IOException {
    store.setFault(StoreFault.NONE);
    engines.clearFaults();
    boxes.forEach(box -> box.storeLink().setFault(FaultyLink.Fault.NONE));
  }

  private void expectAllServing(String when) {
    boxes.forEach(box -> expectServing(box, when));
  }

  /** Notes a box that does not serve every kind of request within the bound for recovery. */
  private void expectServing(SoakBox box, String when) {
    long until = SoakCallers.currentMillis() + RECOVERY_TIMEOUT.toMillis() * timeoutFactor;
    HttpClient client = FleetCaller.newClient();
    for (String path : FleetConfiguration.PATHS) {
      SoakCall call = callers.sendRequest(client, box, path);
      while (!call.hasStatus(200) && SoakCallers.currentMillis() < until) {
        call = callers.sendRequest(client, box, path);
      }
      if (!call.hasStatus(200)) {
        violations.add(
            "box " + box.number() + " does not serve " + path + " " + when + ": " + call);
      }
    }
  }

  private void checkResults() {
    List<SeenRequest> ran = engines.executedRequests();
    violations.addAll(SoakChecks.checkResponses(callers.calls()));
    violations.addAll(SoakChecks.checkNoRepeatedRuns(ran));
    violations.addAll(SoakChecks.checkRefusedNotRun(callers.calls(), ran));
    violations.addAll(SoakChecks.checkRoutesKept(callers.calls()));
    violations.addAll(SoakChecks.checkPlannedStops(callers.calls(), ran, plannedStops));
    violations.addAll(
        SoakAnnouncementChecks.checkLeavingAnnouncements(callers.calls(), engines.allEngines()));
    violations.addAll(SoakAnnouncementChecks.checkBackoffs(callers.calls(), engines.allEngines()));
    engineSteps.checkDepartedEngines();
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
