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
  private final Random seeds;
  private final List<FleetEngine> serving = new CopyOnWriteArrayList<>();
  private final List<FleetEngine> gone = new CopyOnWriteArrayList<>();
  private final List<FaultyLink> allLinks = new CopyOnWriteArrayList<>();
  private final Map<FleetEngine, FaultyLink> links = new ConcurrentHashMap<>();

  SoakEngines(StoreStandIn store, Random seeds) {
    this.store = store;
    this.seeds = seeds;
  }

  /** Starts one more and lists it. */
  void add(EngineKind kind) throws IOException {
    FleetEngine engine = new FleetEngine("i-" + kind + "-" + seeds.nextInt(1_000_000), kind);
    FaultyLink link = new FaultyLink(engine.address());
    allLinks.add(link);
    links.put(engine, link);
    serving.add(engine);
    list(engine, "ready");
  }

  /** Takes one out of those that serve. */
  void remove(FleetEngine engine) {
    serving.remove(engine);
    gone.add(engine);
  }

  /** Puts the row of an engine, with a state. */
  void list(FleetEngine engine, String state) {
    String row = engine.row(engine.kind().service(), "zone-a", state);
    String address = links.get(engine).address();
    store.put("servers", engine.id(), row.replace(engine.address(), address));
  }

  /** Puts the rows of all that serve. */
  void listAll() {
    serving.forEach(engine -> list(engine, "ready"));
  }

  FleetEngine any(Random random) {
    return serving.get(random.nextInt(serving.size()));
  }

  FaultyLink anyLink(Random random) {
    return allLinks.get(random.nextInt(allLinks.size()));
  }

  /** Returns all that ever served. */
  List<FleetEngine> all() {
    return Stream.concat(serving.stream(), gone.stream()).toList();
  }

  /** Returns what all that ever served have run. */
  List<ReceivedRequest> ran() {
    List<ReceivedRequest> ran = new ArrayList<>();
    serving.forEach(engine -> ran.addAll(engine.executedRequests()));
    gone.forEach(engine -> ran.addAll(engine.executedRequests()));
    return ran;
  }

  /** Ends all faults of engines and links. */
  void lift() {
    serving.forEach(engine -> engine.setFault(EngineFault.NONE));
    serving.forEach(engine -> engine.rateLimit().withdraw());
    serving.forEach(engine -> engine.announcements().withdraw());
    allLinks.forEach(link -> link.set(FaultyLink.Fault.NONE));
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
