package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/** The engines of a run, each behind a {@link FaultyLink}, and their rows. Thread-safe. */
final class SoakEngines implements AutoCloseable {

  private final StoreStandIn store;
  private final Random idRandom;
  private final List<FleetEngine> servingEngines = new CopyOnWriteArrayList<>();
  private final List<FleetEngine> removedEngines = new CopyOnWriteArrayList<>();
  private final List<FaultyLink> allLinks = new CopyOnWriteArrayList<>();
  private final Map<FleetEngine, FaultyLink> links = new ConcurrentHashMap<>();

  SoakEngines(StoreStandIn store, Random idRandom) {
    this.store = store;
    this.idRandom = idRandom;
  }

  /** Starts an engine and writes its row. */
  void add(EngineKind kind) throws IOException {
    FleetEngine engine = new FleetEngine("i-" + kind + "-" + idRandom.nextInt(1_000_000), kind);
    if (kind != EngineKind.STAGE) {
      engine.requireRequestId();
    }
    FaultyLink link = new FaultyLink(engine.address());
    allLinks.add(link);
    links.put(engine, link);
    servingEngines.add(engine);
    putRow(engine, "ready");
  }

  /** Removes an engine from those that serve, without stopping it. */
  void remove(FleetEngine engine) {
    servingEngines.remove(engine);
    removedEngines.add(engine);
  }

  /** Writes the row of an engine with the given state. */
  void putRow(FleetEngine engine, String state) {
    String row = engine.row(engine.kind().service(), "zone-a", state);
    String address = links.get(engine).address();
    store.put("servers", engine.id(), row.replace(engine.address(), address));
  }

  /** Writes the rows of all engines that serve. */
  void putAllRows() {
    servingEngines.forEach(engine -> putRow(engine, "ready"));
  }

  FleetEngine randomEngine(Random random) {
    return servingEngines.get(random.nextInt(servingEngines.size()));
  }

  /** Returns the engines whose answers boxes pass on to callers. */
  List<FleetEngine> servers() {
    return servingEngines.stream().filter(engine -> engine.kind() != EngineKind.STAGE).toList();
  }

  /** Returns how many answers had deviations. */
  int deviationCount() {
    return allEngines().stream().mapToInt(engine -> engine.deviations().answerCount()).sum();
  }

  FaultyLink randomLink(Random random) {
    return allLinks.get(random.nextInt(allLinks.size()));
  }

  /** Returns all engines, including removed ones. */
  List<FleetEngine> allEngines() {
    return Stream.concat(servingEngines.stream(), removedEngines.stream()).toList();
  }

  /** Returns the requests that all engines have run, including removed ones. */
  List<ReceivedRequest> executedRequests() {
    List<ReceivedRequest> requests = new ArrayList<>();
    servingEngines.forEach(engine -> requests.addAll(engine.executedRequests()));
    removedEngines.forEach(engine -> requests.addAll(engine.executedRequests()));
    return requests;
  }

  /** Returns the runs of all engines, including removed ones. */
  List<EngineRun> runs() {
    return allEngines().stream().flatMap(engine -> engine.runs().stream()).toList();
  }

  /** Returns the requests whose bodies were read after their answers were sent. */
  List<ReceivedRequest> readAfterAnswer() {
    return allEngines().stream().flatMap(engine -> engine.readAfterAnswer().stream()).toList();
  }

  /** Clears all faults, limits and announcements. */
  void clearFaults() {
    servingEngines.forEach(engine -> engine.setFault(EngineFault.NONE));
    servingEngines.forEach(engine -> engine.deviations().end());
    servingEngines.forEach(engine -> engine.rateLimit().withdraw());
    servingEngines.forEach(engine -> engine.announcements().withdraw());
    allLinks.forEach(link -> link.setFault(FaultyLink.Fault.NONE));
  }

  @Override
  public void close() throws IOException {
    for (FaultyLink link : allLinks) {
      link.close();
    }
    for (FleetEngine engine : links.keySet()) {
      engine.close();
    }
  }
}
