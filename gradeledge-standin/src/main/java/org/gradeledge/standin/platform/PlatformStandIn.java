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
import org.gradeledge.standin.FaultSwitch;
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
  private static final int LOOKS = 3;
  private static final Duration LOOK_PERIOD = Duration.ofMillis(500);
  private static final Duration LOOK_LIMIT = Duration.ofMillis(400);

  private final MemoryTable table = new MemoryTable();
  private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
  private final Map<String, ListedBox> boxes = new ConcurrentHashMap<>();
  private final Map<String, Integer> missedLooks = new ConcurrentHashMap<>();
  private final FaultSwitch<PlatformFault> readFault = off();
  private final FaultSwitch<PlatformFault> commitFault = off();
  private final FaultSwitch<PlatformFault> objectFault = off();
  private final FaultSwitch<PlatformFault> listFault = off();
  private final HttpClient looks = HttpClient.newConnection();
  private final StandInServer server;
  private final StandInServer admin;
  private final Disposable looking;

  /** Starts on the given ports of the loopback interface, 0 for any. */
  public PlatformStandIn(int port, int adminPort) {
    this.server =
        StandInServer.listen(HttpServer.create().host("127.0.0.1").port(port).route(this::routes));
    this.admin =
        StandInServer.listen(
            HttpServer.create().host("127.0.0.1").port(adminPort).route(this::adminRoutes));
    this.looking =
        Flux.interval(LOOK_PERIOD)
            .onBackpressureDrop()
            .concatMap(tick -> Flux.fromIterable(boxes.values()).flatMap(this::look), 1)
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
  public MemoryTable table() {
    return table;
  }

  /** Sets a fault of the table's reads, commits, the objects or the list. */
  public FaultSwitch<PlatformFault> fault(String part) {
    return switch (part) {
      case "read" -> readFault;
      case "commit" -> commitFault;
      case "objects" -> objectFault;
      case "list" -> listFault;
      default -> throw new IllegalArgumentException("no such part: " + part);
    };
  }

  /** Takes the table down or brings it up again. */
  public void setTable(PlatformFault fault) {
    readFault.set(fault);
    commitFault.set(fault);
  }

  /** Enters a box in the list. */
  public void list(ListedBox box) {
    boxes.put(box.id(), box);
  }

  /** Stops. */
  public void close() {
    looking.dispose();
    server.close();
    admin.close();
  }

  private void routes(HttpServerRoutes routes) {
    routes
        .post("/v1/table/commit", this::commit)
        .post("/v1/table/read", this::read)
        .put("/v1/objects/{key}", this::putObject)
        .get("/v1/objects/{key}", this::getObject)
        .get("/v1/boxes", (request, response) -> under(listFault, response, this::listed))
        .put("/v1/boxes/{id}", this::announce)
        .delete("/v1/boxes/{id}", this::withdraw);
  }

  private Publisher<Void> commit(HttpServerRequest request, HttpServerResponse response) {
    return StandInHttp.body(request)
        .map(body -> read(body, new TypeReference<TableTransaction>() {}))
        .flatMap(
            transaction ->
                commitFault
                    .next()
                    .apply(() -> table.commit(transaction))
                    .flatMap(
                        (CommitResult result) ->
                            StandInHttp.reply(response, result.committed() ? OK : CONFLICT, result)
                                .thenReturn(true))
                    .switchIfEmpty(StandInHttp.cut(response).thenReturn(true)))
        .then();
  }

  private Publisher<Void> read(HttpServerRequest request, HttpServerResponse response) {
    return StandInHttp.body(request)
        .map(body -> read(body, new TypeReference<List<String>>() {}))
        .flatMap(prefixes -> under(readFault, response, () -> table.read(prefixes)));
  }

  private Publisher<Void> putObject(HttpServerRequest request, HttpServerResponse response) {
    String key = StandInHttp.parameter(request, "key");
    return StandInHttp.body(request)
        .flatMap(
            body ->
                under(
                    objectFault,
                    response,
                    () -> {
                      objects.put(key, body);
                      return Map.of();
                    }));
  }

  private Publisher<Void> getObject(HttpServerRequest request, HttpServerResponse response) {
    byte[] object = objects.get(StandInHttp.parameter(request, "key"));
    return object == null
        ? StandInHttp.reply(response, NOT_FOUND, Map.of())
        : under(objectFault, response, () -> object);
  }

  private Publisher<Void> announce(HttpServerRequest request, HttpServerResponse response) {
    return StandInHttp.body(request)
        .map(body -> read(body, new TypeReference<ListedBox>() {}))
        .flatMap(
            box ->
                under(
                    listFault,
                    response,
                    () -> {
                      missedLooks.remove(box.id());
                      boxes.put(box.id(), box);
                      return Map.of();
                    }));
  }

  private Publisher<Void> withdraw(HttpServerRequest request, HttpServerResponse response) {
    boxes.remove(StandInHttp.parameter(request, "id"));
    return StandInHttp.reply(response, OK, Map.of());
  }

  private List<ListedBox> listed() {
    return boxes.values().stream()
        .filter(box -> missedLooks.getOrDefault(box.id(), 0) < LOOKS)
        .toList();
  }

  private Mono<Void> look(ListedBox box) {
    return looks
        .get()
        .uri("http://" + box.address() + "/healthz")
        .response()
        .timeout(LOOK_LIMIT)
        .doOnNext(response -> missedLooks.remove(box.id()))
        .doOnError(e -> missedLooks.merge(box.id(), 1, Integer::sum))
        .onErrorComplete()
        .then();
  }

  private static <T> Mono<Void> under(
      FaultSwitch<PlatformFault> fault, HttpServerResponse response, Supplier<T> effect) {
    return fault
        .next()
        .apply(effect)
        .flatMap(answer -> StandInHttp.reply(response, OK, answer).thenReturn(true))
        .switchIfEmpty(StandInHttp.cut(response).thenReturn(true))
        .then();
  }

  private void adminRoutes(HttpServerRoutes routes) {
    routes
        .post(
            "/faults/{part}/{fault}",
            (request, response) -> {
              PlatformFault fault =
                  PlatformFault.ofWireName(StandInHttp.parameter(request, "fault"));
              fault(StandInHttp.parameter(request, "part")).set(fault);
              return StandInHttp.reply(response, OK, Map.of());
            })
        .get(
            "/counts",
            (request, response) -> {
              long[] counts = table.counts();
              return StandInHttp.reply(
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

  private static FaultSwitch<PlatformFault> off() {
    return new FaultSwitch<>(PlatformFault.NONE);
  }
}
