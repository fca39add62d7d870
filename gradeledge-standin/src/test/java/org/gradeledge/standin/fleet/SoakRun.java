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
import java.util.stream.Stream;

/**
 * One run of the soak test: box processes, stand-ins for the store and the engines, callers, and
 * concurrent series of steps drawn from one seed. An exclusive step, such as a planned stop, waits
 * until the other series pause, so that its effect can be checked without other faults.
 */
final class SoakRun implements AutoCloseable {

  private static final int CALLERS_PER_BOX = 3;
  private static final int STREAM_CALLERS_PER_BOX = 2;
  private static final int FAULT_SERIES = 3;
  private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(12);

  private final long seed;
  private final Random faultRandom;
  private final Path folder;
  private final int timeoutFactor;
  private final long endMillis;
  private final StoreStandIn store = new StoreStandIn();
  private final SoakEngines engines;
  private final SoakVersionedEngines versionedEngines;
  private final List<SoakBox> boxes = new ArrayList<>();
  private final SoakEngineSteps engineSteps;
  private final List<SoakChecks.PlannedStop> plannedStops = new CopyOnWriteArrayList<>();
  private final List<String> violations = new CopyOnWriteArrayList<>();
  private final List<String> stepLog = new CopyOnWriteArrayList<>();
  private final ReadWriteLock exclusionLock = new ReentrantReadWriteLock(true);
  private final SoakCallers callers;
  private final SoakStreamCallers streamCallers;
  private final SoakConfiguration configuration = new SoakConfiguration(store);

  /**
   * Prepares a run without starting any box.
   *
   * @param timeoutFactor factor for time bounds on a machine with other load
   */
  SoakRun(long seed, Duration duration, int boxCount, int timeoutFactor, Path folder)
      throws IOException {
    this.seed = seed;
    this.faultRandom = new Random(seed);
    this.engines = new SoakEngines(store, faultRandom);
    this.versionedEngines = new SoakVersionedEngines(store);
    this.streamCallers = new SoakStreamCallers(boxes, versionedEngines);
    this.timeoutFactor = timeoutFactor;
    this.engineSteps =
        new SoakEngineSteps(engines, this::expectAllServing, violations::add, timeoutFactor);
    this.folder = folder;
    this.callers = new SoakCallers("s" + seed);
    this.endMillis = SoakCallers.currentMillis() + duration.toMillis();
    for (EngineKind kind : EngineKind.values()) {
      engines.add(kind);
      engines.add(kind);
    }
    for (int number = 0; number < boxCount; number++) {
      boxes.add(new SoakBox(folder, number, store));
    }
  }

  /** Executes the run and returns violations, followed by the step log if there are any. */
  List<String> execute() throws IOException, InterruptedException, ExecutionException {
    for (SoakBox box : boxes) {
      box.start(seedAddresses());
    }
    for (SoakBox box : boxes) {
      expectServing(box, "at the start");
      callers.start(box, CALLERS_PER_BOX);
    }
    streamCallers.start(STREAM_CALLERS_PER_BOX * boxes.size());
    SoakAnswerStep.deviateEverywhere(this, new Random(~seed));
    runAllSeries();
    clearFaults();
    boxes.forEach(box -> expectServing(box, "after all faults", configuration.prefixes()));
    callers.stop();
    streamCallers.stop();
    checkResults();
    return violations.isEmpty()
        ? List.of()
        : Stream.concat(violations.stream(), stepLog.stream()).toList();
  }

  SoakCallers callers() {
    return callers;
  }

  /** Returns how many answers deviated, and how many streams began and went on. */
  String counts() {
    String streams = SoakStreamChecks.describe(streamCallers.streams());
    int deviations = engines.deviationCount() + versionedEngines.deviationCount();
    return "deviated=" + deviations + " " + streams;
  }

  private void runAllSeries() throws InterruptedException, ExecutionException {
    ExecutorService series = Executors.newFixedThreadPool(FAULT_SERIES + SoakSeries.ALL.size());
    List<Future<?>> running = new ArrayList<>();
    for (int i = 0; i < FAULT_SERIES; i++) {
      Random random = new Random(faultRandom.nextLong());
      running.add(series.submit(() -> runSeries(SoakFaultStep.values(), random)));
    }
    for (SoakSeries each : SoakSeries.ALL) {
      Random random = new Random(seed ^ each.seedMask());
      running.add(series.submit(() -> runSeries(each.actions(), random)));
    }
    for (Future<?> each : running) {
      each.get();
    }
    series.shutdown();
  }

  private Void runSeries(SoakAction[] actions, Random random)
      throws IOException, InterruptedException {
    while (SoakCallers.currentMillis() < endMillis) {
      SoakAction step = actions[random.nextInt(actions.length)];
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

  List<SoakBox> boxes() {
    return boxes;
  }

  SoakBox randomBox(Random random) {
    return boxes.get(random.nextInt(boxes.size()));
  }

  SoakEngines engines() {
    return engines;
  }

  SoakVersionedEngines versionedEngines() {
    return versionedEngines;
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

  /** Sleeps for the duration of a step. */
  static void pause(long millis) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(millis);
  }

  /** Stops a box with SIGTERM while no fault is injected, and restarts it. */
  void stopAsPlanned(SoakBox box) throws IOException {
    expectServing(box, "before a planned stop");
    long fromMillis = SoakCallers.currentMillis();
    int incarnation = box.incarnation();
    int exitCode = box.stop();
    plannedStops.add(
        new SoakChecks.PlannedStop(
            box.number(), incarnation, fromMillis, SoakCallers.currentMillis()));
    if (exitCode != 0) {
      violations.add("box " + box.number() + " ended with " + exitCode + " after SIGTERM");
    }
    box.start(seedAddresses());
    expectServing(box, "after a planned stop");
  }

  /** Adds a route to which callers send requests from now on. */
  void addRoute() {
    callers.addPath(configuration.addRoute());
  }

  /** Writes again the configuration and rows that the store may have lost. */
  void rewriteStore() {
    configuration.write();
    engines.putAllRows();
    versionedEngines.putAllRows();
  }

  private void clearFaults() throws IOException {
    store.setFault(StoreFault.NONE);
    engines.clearFaults();
    versionedEngines.clearFaults();
    boxes.forEach(box -> box.storeLink().setFault(FaultyLink.Fault.NONE));
    boxes.forEach(box -> box.upstreamLinks().setFault(FaultyLink.Fault.NONE));
  }

  private void expectAllServing(String phase) {
    boxes.forEach(box -> expectServing(box, phase));
  }

  /** Records a violation unless the box serves each kind of request within the recovery timeout. */
  void expectServing(SoakBox box, String phase) {
    expectServing(box, phase, FleetConfiguration.PATHS);
  }

  private void expectServing(SoakBox box, String phase, List<String> paths) {
    long deadlineMillis = SoakCallers.currentMillis() + RECOVERY_TIMEOUT.toMillis() * timeoutFactor;
    HttpClient client = FleetCaller.newClient();
    for (String path : paths) {
      SoakCall call = callers.sendRequest(client, box, path);
      while (!call.hasStatus(200) && SoakCallers.currentMillis() < deadlineMillis) {
        call = callers.sendRequest(client, box, path);
      }
      if (!call.hasStatus(200)) {
        violations.add(
            "box " + box.number() + " does not serve " + path + " " + phase + ": " + call);
      }
    }
  }

  private void checkResults() throws IOException {
    List<ReceivedRequest> executed = engines.executedRequests();
    violations.addAll(SoakChecks.checkResponses(callers.calls()));
    violations.addAll(SoakChecks.checkNoRepeatedRuns(executed));
    violations.addAll(SoakChecks.checkRefusedNotRun(callers.calls(), executed));
    violations.addAll(SoakChecks.checkRoutesKept(callers.calls()));
    violations.addAll(SoakChecks.checkPlannedStops(callers.calls(), executed, plannedStops));
    violations.addAll(
        SoakAnnouncementChecks.checkLeavingAnnouncements(callers.calls(), engines.allEngines()));
    violations.addAll(SoakAnnouncementChecks.checkBackoffs(callers.calls(), engines.allEngines()));
    checkAnswers();
    violations.addAll(SoakStreamChecks.checkVersions(streamCallers.streams()));
    violations.addAll(SoakStreamChecks.checkComplete(streamCallers.streams()));
    violations.addAll(SoakStreamChecks.checkResumptions(streamCallers.streams()));
    for (SoakBox box : boxes) {
      violations.addAll(SoakLogChecks.checkCutStreams(box.logLines()));
    }
    engineSteps.checkDepartedEngines();
  }

  private void checkAnswers() {
    List<EngineRun> runs = new ArrayList<>(engines.runs());
    runs.addAll(versionedEngines.runs());
    AnswerChecks answerChecks = new AnswerChecks(runs);
    violations.addAll(answerChecks.findViolations(callers.answers()));
    violations.addAll(answerChecks.findViolations(streamCallers.answers()));
    violations.addAll(SoakChecks.checkBodiesReadAfterAnswers(engines.readAfterAnswer()));
  }

  @Override
  public void close() throws IOException {
    for (SoakBox box : boxes) {
      box.close();
    }
    engines.close();
    versionedEngines.close();
    store.close();
  }
}
