package org.gradeledge.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.gradeledge.standin.StandInHttp;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Runs several engine stand-ins until the process is terminated. */
@Command(name = "engines", mixinStandardHelpOptions = true, description = "Runs engine stand-ins.")
public final class EnginesCommand implements Callable<Integer> {

  private static final int OK = 200;

  @Spec private CommandSpec spec;

  @Option(names = "--ids", split = ",", required = true, description = "Ids of the engines.")
  private List<String> ids;

  @Option(names = "--slots", defaultValue = "16", description = "Concurrent calls per engine.")
  private int slots;

  @Option(
      names = "--base-ms",
      defaultValue = "5",
      description = "Processing time of a call, in ms.")
  private int callMillis;

  @Option(
      names = "--token-us",
      defaultValue = "1500",
      description = "Time per token, in microseconds.")
  private int tokenMicros;

  @Option(names = "--full-factor", defaultValue = "2", description = "Slowdown of a full batch.")
  private double fullBatchSlowdown;

  private final Map<String, EngineStandIn> engines = new TreeMap<>();
  private final RunLog log = new RunLog(false);

  @Override
  public Integer call() {
    EngineTiming timing = new EngineTiming(slots, callMillis, tokenMicros, fullBatchSlowdown);
    ids.forEach(id -> engines.put(id, new EngineStandIn(0, timing, log)));
    DisposableServer admin =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .route(
                routes ->
                    routes
                        .post("/faults/{id}/{fault}", this::setFault)
                        .post("/leave/{id}", this::leave)
                        .get(
                            "/counts",
                            (request, response) ->
                                StandInHttp.sendJson(
                                    response,
                                    OK,
                                    Map.of(
                                        "runs",
                                        log.runCount(),
                                        "cancelled",
                                        log.cancellationCount()))))
            .bindNow();
    Map<String, Object> addresses = new TreeMap<>();
    addresses.put("admin", "127.0.0.1:" + admin.port());
    Map<String, Integer> ports = new TreeMap<>();
    engines.forEach((id, engine) -> ports.put(id, engine.port()));
    addresses.put("engines", ports);
    spec.commandLine()
        .getOut()
        .println(new String(StandInHttp.toJson(addresses), StandardCharsets.UTF_8));
    spec.commandLine().getOut().flush();
    Mono.never().block();
    return 0;
  }

  private Mono<Void> setFault(HttpServerRequest request, HttpServerResponse response) {
    EngineFault fault = EngineFault.ofWireName(StandInHttp.pathParameter(request, "fault"));
    engine(request).faultInjector().set(fault);
    return StandInHttp.sendJson(response, OK, Map.of());
  }

  private Mono<Void> leave(HttpServerRequest request, HttpServerResponse response) {
    engine(request).leave();
    return StandInHttp.sendJson(response, OK, Map.of());
  }

  private EngineStandIn engine(HttpServerRequest request) {
    String id = StandInHttp.pathParameter(request, "id");
    EngineStandIn engine = engines.get(id);
    if (engine == null) {
      throw new IllegalArgumentException("unknown engine: " + id);
    }
    return engine;
  }
}
