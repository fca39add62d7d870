package org.gradeledge.standin.platform;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.gradeledge.document.JsonMappers;
import org.gradeledge.platform.CommitResult;
import org.gradeledge.platform.ListedBox;
import org.gradeledge.platform.TableTransaction;
import org.gradeledge.standin.FaultInjector;
import org.gradeledge.standin.StandInHttp;
import org.gradeledge.standin.StandInServer;
import org.reactivestreams.Publisher;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * The platform in one process: table, object store and box list on one port, fault switches on
 * another. The list drops a box that does not answer three looks in a row.
 */
public final class PlatformStandIn {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int MAX_FAILED_CHECKS = 3;
  private static final Duration HEALTH_CHECK_INTERVAL = Duration.ofMillis(500);
  private static final Duration HEALTH_CHECK_TIMEOUT = Duration.ofMillis(400);

  private final InMemoryTable table = new InMemoryTable();
  private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
  private final Map<String, ListedBox> boxes = new ConcurrentHashMap<>();
  private final Map<String, Integer> failedChecks = new ConcurrentHashMap<>();
  private final FaultInjector<PlatformFault> readFaults = newFaultInjector();
  private final FaultInjector<PlatformFault> commitFaults = newFaultInjector();
  private final FaultInjector<PlatformFault> objectFaults = newFaultInjector();
  private final FaultInjector<PlatformFault> listFaults = newFaultInjector();
  private final HttpClient healthCheckClient = HttpClient.newConnection();
  private final StandInServer server;
  private final StandInServer admin;
  private final Disposable healthChecks;

  /** Starts on the given ports of the loopback interface, 0 for any. */
  public PlatformStandIn(int port, int adminPort) {
    this.server =
        StandInServer.start(HttpServer.create().host("127.0.0.1").port(port).route(this::routes));
    this.admin =
        StandInServer.start(
            HttpServer.create().host("127.0.0.1").port(adminPort).route(this::adminRoutes));
    this.healthChecks =
        Flux.interval(HEALTH_CHECK_INTERVAL)
            .onBackpressureDrop()
            .concatMap(tick -> Flux.fromIterable(boxes.values()).flatMap(this::checkHealth), 1)
            .subscribe();
  }

  /** Returns the port of the platform's services. */
  public int port() {
    return server.port();
  }

  /** Returns the port of the fault switches. */
  public int adminPort() {
    return admin.port();
  }

  /** Returns the table, for looking into it. */
  public InMemoryTable table() {
    return table;
  }

  /** Sets a fault of the table's reads, commits, the objects or the list. */
  public FaultInjector<PlatformFault> faultInjector(String part) {
    return switch (part) {
      case "read" -> readFaults;
      case "commit" -> commitFaults;
      case "objects" -> objectFaults;
      case "list" -> listFaults;
      default -> throw new IllegalArgumentException("no such part: " + part);
    };
  }

  /** Takes the table down or brings it up again. */
  public void setTableFault(PlatformFault fault) {
    readFaults.set(fault);
    commitFaults.set(fault);
  }

  /** Enters a box in the list. */
  public void addBox(ListedBox box) {
    boxes.put(box.id(), box);
  }

  /** Stops. */
  public void close() {
    healthChecks.dispose();
    server.close();
    admin.close();
  }

  private void routes(HttpServerRoutes routes) {
    routes
        .post("/v1/table/commit", this::commit)
        .post("/v1/table/read", this::read)
        .put("/v1/objects/{key}", this::putObject)
        .get("/v1/objects/{key}", this::getObject)
        .get(
            "/v1/boxes",
            (request, response) -> replyWithFault(listFaults, response, this::listedBoxes))
        .put("/v1/boxes/{id}", this::putBox)
        .delete("/v1/boxes/{id}", this::deleteBox);
  }

  private Publisher<Void> commit(HttpServerRequest request, HttpServerResponse response) {
    return StandInHttp.readBody(request)
        .map(body -> read(body, new TypeReference<TableTransaction>() {}))
        .flatMap(
            transaction ->
                commitFaults
                    .nextFault()
                    .apply(() -> table.commit(transaction))
                    .flatMap(
                        (CommitResult result) ->
                            StandInHttp.sendJson(
                                    response, result.committed() ? OK : CONFLICT, result)
                                .thenReturn(true))
                    .switchIfEmpty(StandInHttp.closeConnection(response).thenReturn(true)))
        .then();
  }

  private Publisher<Void> read(HttpServerRequest request, HttpServerResponse response) {
    return StandInHttp.readBody(request)
        .map(body -> read(body, new TypeReference<List<String>>() {}))
        .flatMap(prefixes -> replyWithFault(readFaults, response, () -> table.read(prefixes)));
  }

  private Publisher<Void> putObject(HttpServerRequest request, HttpServerResponse response) {
    String key = StandInHttp.pathParameter(request, "key");
    return StandInHttp.readBody(request)
        .flatMap(
            body ->
                replyWithFault(
                    objectFaults,
                    response,
                    () -> {
                      objects.put(key, body);
                      return Map.of();
                    }));
  }

  private Publisher<Void> getObject(HttpServerRequest request, HttpServerResponse response) {
    byte[] object = objects.get(StandInHttp.pathParameter(request, "key"));
    return object == null
        ? StandInHttp.sendJson(response, NOT_FOUND, Map.of())
        : replyWithFault(objectFaults, response, () -> object);
  }

  private Publisher<Void> putBox(HttpServerRequest request, HttpServerResponse response) {
    return StandInHttp.readBody(request)
        .map(body -> read(body, new TypeReference<ListedBox>() {}))
        .flatMap(
            box ->
                replyWithFault(
                    listFaults,
                    response,
                    () -> {
                      failedChecks.remove(box.id());
                      boxes.put(box.id(), box);
                      return Map.of();
                    }));
  }

  private Publisher<Void> deleteBox(HttpServerRequest request, HttpServerResponse response) {
    boxes.remove(StandInHttp.pathParameter(request, "id"));
    return StandInHttp.sendJson(response, OK, Map.of());
  }

  private List<ListedBox> listedBoxes() {
    return boxes.values().stream()
        .filter(box -> failedChecks.getOrDefault(box.id(), 0) < MAX_FAILED_CHECKS)
        .toList();
  }

  private Mono<Void> checkHealth(ListedBox box) {
    return healthCheckClient
        .get()
        .uri("http://" + box.address() + "/healthz")
        .response()
        .timeout(HEALTH_CHECK_TIMEOUT)
        .doOnNext(response -> failedChecks.remove(box.id()))
        .doOnError(e -> failedChecks.merge(box.id(), 1, Integer::sum))
        .onErrorComplete()
        .then();
  }

  private static <T> Mono<Void> replyWithFault(
      FaultInjector<PlatformFault> fault, HttpServerResponse response, Supplier<T> effect) {
    return fault
        .nextFault()
        .apply(effect)
        .flatMap(answer -> StandInHttp.sendJson(response, OK, answer).thenReturn(true))
        .switchIfEmpty(StandInHttp.closeConnection(response).thenReturn(true))
        .then();
  }

  private void adminRoutes(HttpServerRoutes routes) {
    routes
        .post(
            "/faults/{part}/{fault}",
            (request, response) -> {
              PlatformFault fault =
                  PlatformFault.ofWireName(StandInHttp.pathParameter(request, "fault"));
              faultInjector(StandInHttp.pathParameter(request, "part")).set(fault);
              return StandInHttp.sendJson(response, OK, Map.of());
            })
        .get(
            "/counts",
            (request, response) -> {
              long[] counts = table.callCounts();
              return StandInHttp.sendJson(
                  response, OK, Map.of("commits", counts[0], "reads", counts[1]));
            });
  }

  private static <T> T read(byte[] body, TypeReference<T> type) {
    try {
      return JsonMappers.json().readValue(body, type);
    } catch (IOException e) {
      throw new IllegalArgumentException("body must be JSON of the expected shape", e);
    }
  }

  private static FaultInjector<PlatformFault> newFaultInjector() {
    return new FaultInjector<>(PlatformFault.NONE);
  }
}
