package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** Engines of one service that run several software versions side by side. Thread-safe. */
final class SoakVersionedEngines implements AutoCloseable {

  private static final List<String> VERSIONS = List.of("v1", "v2", "v3");
  private static final int FIRST_VERSIONS = 2;
  private static final int ENGINES_PER_FIRST_VERSION = 3;

  private final StoreStandIn store;
  private final List<FleetEngine> serving = new CopyOnWriteArrayList<>();
  private final List<FleetEngine> all = new CopyOnWriteArrayList<>();
  private final Set<FleetEngine> failing = ConcurrentHashMap.newKeySet();

  SoakVersionedEngines(StoreStandIn store) {
    this.store = store;
    for (String version : VERSIONS.subList(0, FIRST_VERSIONS)) {
      for (int engine = 0; engine < ENGINES_PER_FIRST_VERSION; engine++) {
        add(version);
      }
    }
  }

  private void add(String version) {
    FleetEngine engine = new FleetEngine("i-versions-" + all.size(), EngineKind.STREAM, version);
    all.add(engine);
    serving.add(engine);
    putRow(engine, "ready");
  }

  private void putRow(FleetEngine engine, String state) {
    String row = engine.row(FleetConfiguration.VERSIONS_SERVICE, "zone-a", state);
    store.put("servers", engine.id(), row);
  }

  /** Writes the rows of all engines that serve. */
  void putAllRows() {
    serving.forEach(engine -> putRow(engine, "ready"));
  }

  /** Replaces an engine by one of a random software version, which starts first. */
  void replaceOne(Random random) {
    add(VERSIONS.get(random.nextInt(VERSIONS.size())));
    FleetEngine leaving = serving.get(random.nextInt(serving.size()));
    serving.remove(leaving);
    putRow(leaving, "draining");
  }

  /** Lets an engine break off its streams, or send them slowly, for a while. */
  void harmOne(Random random, EngineFault fault, long millis) throws InterruptedException {
    harmOne(random, engine -> engine.setFault(fault), millis);
  }

  /** Does something to an engine that lasts for a while. */
  void harmOne(Random random, Consumer<FleetEngine> harm, long millis) throws InterruptedException {
    FleetEngine engine = serving.get(random.nextInt(serving.size()));
    if (failing.add(engine)) {
      harm.accept(engine);
      SoakRun.pause(millis);
      engine.setFault(EngineFault.NONE);
      engine.deviations().end();
      failing.remove(engine);
    }
  }

  /** Returns the runs of all engines. */
  List<EngineRun> runs() {
    return all.stream().flatMap(engine -> engine.runs().stream()).toList();
  }

  FleetEngine randomEngine(Random random) {
    return serving.get(random.nextInt(serving.size()));
  }

  /** Does something to all engines that lasts for a while. */
  void harmAll(Consumer<FleetEngine> harm, long millis) throws InterruptedException {
    failing.addAll(serving);
    serving.forEach(harm);
    SoakRun.pause(millis);
    serving.forEach(engine -> engine.deviations().end());
    failing.clear();
  }

  /** Returns how many answers had deviations. */
  int deviationCount() {
    return all.stream().mapToInt(engine -> engine.deviations().answerCount()).sum();
  }

  /** Ends all faults. */
  void clearFaults() {
    all.forEach(engine -> engine.silence().resume());
    all.forEach(engine -> engine.deviations().end());
  }

  /** Returns the number of engines of a software version that serve without a fault. */
  long soundCount(String version) {
    return serving.stream()
        .filter(engine -> engine.softwareVersion().equals(version) && !failing.contains(engine))
        .count();
  }

  @Override
  public void close() throws IOException {
    for (FleetEngine engine : all) {
      engine.close();
    }
  }
}
