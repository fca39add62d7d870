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

/** Runs several engines in one process until it is killed. */
@Command(name = "engines", mixinStandardHelpOptions = true, description = "Runs engines.")
public final class EnginesCommand implements Callable<Integer> {

  private static final int OK = 200;

  @Spec private CommandSpec spec;

  @Option(names = "--ids", split = ",", required = true, description = "Names of the engines.")
  private List<String> ids;

  @Option(names = "--slots", defaultValue = "16", description = "Calls at a time.")
  private int slots;

  @Option(names = "--base-ms", defaultValue = "5", description = "Time of a call.")
  private int callMillis;

  @Option(names = "--token-us", defaultValue = "1500", description = "Time of a token.")
  private int tokenMicros;

  @Option(names = "--full-factor", defaultValue = "2", description = "Slowness of a full batch.")
  private double fullBatchSlowdown;

  private final Map<String, EngineStandIn> engines = new TreeMap<>();
  private final RunLog log = new RunLog(false);

  @Override
  public Integer call() {
    EngineTiming model = new EngineTiming(slots, callMillis, tokenMicros, fullBatchSlowdown);
    ids.forEach(id -> engines.put(id, new EngineStandIn(0, model, log)));
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
                            (q, r) ->
                                StandInHttp.sendJson(
                                    r,
                                    OK,
                                    Map.of(
                                        "runs",
                                        log.runCount(),
                                        "cancelled",
                                        log.cancellationCount()))))
            .bindNow();
    Map<String, Object> line = new TreeMap<>();
    line.put("admin", "127.0.0.1:" + admin.port());
    Map<String, Integer> ports = new TreeMap<>();
    engines.forEach((id, engine) -> ports.put(id, engine.port()));
    line.put("engines", ports);
    spec.commandLine()
        .getOut()
        .println(new String(StandInHttp.toJson(line), StandardCharsets.UTF_8));
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
      throw new IllegalArgumentException("no such engine: " + id);
    }
    return engine;
  }
}
