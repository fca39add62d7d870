package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Runs a store and engines, writes the settings of boxes that are to stand before them, and once
 * those are ready sends each of them requests of every kind. It starts no box.
 */
@Command(
    name = "fleet",
    mixinStandardHelpOptions = true,
    description = "Runs a store and engines of the users' platform, and callers of boxes.")
public final class FleetCommand implements Callable<Integer> {

  private static final int ENGINES_PER_KIND = 2;
  private static final int PORTS_PER_BOX = 4;
  private static final int CALLER_THREADS = 4;
  private static final int OK = 200;

  @Spec private CommandSpec spec;

  @Option(names = "--directory", required = true, description = "Where settings are written.")
  private Path directory;

  @Option(names = "--boxes", defaultValue = "3", description = "Boxes (${DEFAULT-VALUE}).")
  private int boxCount;

  @Option(
      names = "--requests",
      defaultValue = "40",
      description = "Requests to each box (${DEFAULT-VALUE}).")
  private int requestCount;

  @Option(
      names = "--hold",
      defaultValue = "0",
      description = "Seconds to go on for once all requests have ended (${DEFAULT-VALUE}).")
  private int holdSeconds;

  /** Returns 0 if every request was served. */
  @Override
  public Integer call() throws IOException, InterruptedException, ExecutionException {
    PrintWriter out = spec.commandLine().getOut();
    try (StoreStandIn store = new StoreStandIn()) {
      store.put("op", "config", FleetConfiguration.configuration(1, ""));
      List<FleetEngine> engines = startEngines(store);
      List<FleetCaller> callers = writeSettings(store);
      out.printf("{\"boxes\":%d,\"store\":\"%s\"}%n", boxCount, store.address());
      out.flush();
      List<Integer> statuses = sendAllRequests(callers);
      long served = statuses.stream().filter(status -> status == OK).count();
      out.printf("%d of %d requests served by %d boxes%n", served, statuses.size(), boxCount);
      out.flush();
      TimeUnit.SECONDS.sleep(holdSeconds);
      for (FleetEngine engine : engines) {
        engine.close();
      }
      return served == statuses.size() ? 0 : 1;
    }
  }

  private static List<FleetEngine> startEngines(StoreStandIn store) {
    List<FleetEngine> engines = new ArrayList<>();
    for (EngineKind kind : EngineKind.values()) {
      for (int number = 0; number < ENGINES_PER_KIND; number++) {
        FleetEngine engine = new FleetEngine("i-" + kind + "-" + number, kind);
        engines.add(engine);
        store.put("servers", engine.id(), engine.row(kind.service(), "zone-a", "ready"));
      }
    }
    return engines;
  }

  private List<FleetCaller> writeSettings(StoreStandIn store) throws IOException {
    Files.createDirectories(directory);
    List<List<Integer>> ports = new ArrayList<>();
    for (int box = 0; box < boxCount; box++) {
      ports.add(FreePorts.findBelowEphemeralRange(PORTS_PER_BOX));
    }
    List<String> seeds = ports.stream().map(each -> "127.0.0.1:" + each.get(2)).toList();
    for (int box = 0; box < boxCount; box++) {
      String settings = FleetConfiguration.settings(ports.get(box), store.address(), seeds);
      Files.writeString(directory.resolve("box-" + box + ".json"), settings);
    }
    return ports.stream().map(each -> new FleetCaller(each.get(0), each.get(1))).toList();
  }

  private List<Integer> sendAllRequests(List<FleetCaller> callers)
      throws InterruptedException, ExecutionException {
    ExecutorService threads = Executors.newFixedThreadPool(CALLER_THREADS);
    List<Future<List<Integer>>> running = new ArrayList<>();
    for (FleetCaller caller : callers) {
      running.add(threads.submit(() -> caller.sendRequests(requestCount)));
    }
    List<Integer> statuses = new ArrayList<>();
    for (Future<List<Integer>> each : running) {
      statuses.addAll(each.get());
    }
    threads.shutdown();
    return statuses;
  }
}
