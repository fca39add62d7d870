package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/** The engines of a run, each behind a link that can be harmed, and their rows. Thread-safe. */
final class SoakEngines implements AutoCloseable {

  private final StoreStandIn store;
  private final Random idRandom;
  private final List<FleetEngine> servingEngines = new CopyOnWriteArrayList<>();
  private final List<FleetEngine> removedEngines = new CopyOnWriteArrayList<>();
  private final List<FaultyLink> allLinks = new CopyOnWriteArrayList<>();
  private final Map<FleetEngine, FaultyLink> links = new ConcurrentHashMap<>();

  SoakEngines(StoreStandIn store, Random seeds) {
    this.store = store;
    this.idRandom = seeds;
  }

  /** Starts one more and lists it. */
  void add(EngineKind kind) throws IOException {
    FleetEngine engine = new FleetEngine("i-" + kind + "-" + idRandom.nextInt(1_000_000), kind);
    FaultyLink link = new FaultyLink(engine.address());
    allLinks.add(link);
    links.put(engine, link);
    servingEngines.add(engine);
    putRow(engine, "ready");
  }

  /** Takes one out of those that serve. */
  void remove(FleetEngine engine) {
    servingEngines.remove(engine);
    removedEngines.add(engine);
  }

  /** Puts the row of an engine, with a state. */
  void putRow(FleetEngine engine, String state) {
    String row = engine.row(engine.kind().service(), "zone-a", state);
    String address = links.get(engine).address();
    store.put("servers", engine.id(), row.replace(engine.address(), address));
  }

  /** Puts the rows of all that serve. */
  void putAllRows() {
    servingEngines.forEach(engine -> putRow(engine, "ready"));
  }

  FleetEngine randomEngine(Random random) {
    return servingEngines.get(random.nextInt(servingEngines.size()));
  }

  FaultyLink randomLink(Random random) {
    return allLinks.get(random.nextInt(allLinks.size()));
  }

  /** Returns all that ever served. */
  List<FleetEngine> allEngines() {
    return Stream.concat(servingEngines.stream(), removedEngines.stream()).toList();
  }

  /** Returns what all that ever served have run. */
  List<SeenRequest> executedRequests() {
    List<SeenRequest> ran = new ArrayList<>();
    servingEngines.forEach(engine -> ran.addAll(engine.ran()));
    removedEngines.forEach(engine -> ran.addAll(engine.ran()));
    return ran;
  }

  /** Ends all faults of engines and links. */
  void clearFaults() {
    servingEngines.forEach(engine -> engine.setFault(EngineFault.NONE));
    servingEngines.forEach(engine -> engine.limit().withdraw());
    servingEngines.forEach(engine -> engine.signals().withdraw());
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
