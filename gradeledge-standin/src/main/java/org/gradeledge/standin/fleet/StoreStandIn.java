package org.gradeledge.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.gradeledge.standin.StandInHttp;
import org.gradeledge.standin.StandInServer;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Stand-in for the store: versioned rows that clients read or follow. It can be restored from a
 * snapshot to simulate the recovery from a backup. Thread-safe.
 */
public final class StoreStandIn implements AutoCloseable {

  private static final String HOST = "127.0.0.1";
  private static final Duration POLL_INTERVAL = Duration.ofMillis(10);
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final int GONE = 410;
  private static final int PRECONDITION_FAILED = 412;

  private final Map<String, Map<String, StoredRow>> tables = new TreeMap<>();
  private final StandInServer server;
  private final List<StandInServer> views = new CopyOnWriteArrayList<>();
  private volatile StoreFault fault = StoreFault.NONE;
  private long revision;
  private int epoch = 1;

  /** Starts the store on a free port. */
  public StoreStandIn() {
    server = startServer(UnaryOperator.identity());
  }

  /**
   * Opens another address of this store, at which the values of rows read differently.
   *
   * @param rewrite returns what the value of a row reads there
   */
  public String openView(UnaryOperator<String> rewrite) {
    StandInServer view = startServer(rewrite);
    views.add(view);
    return HOST + ":" + view.port();
  }

  private StandInServer startServer(UnaryOperator<String> rewrite) {
    return StandInServer.start(
        HttpServer.create()
            .host(HOST)
            .port(0)
            .route(
                routes ->
                    routes
                        .get("/rows-get", (request, response) -> get(request, response, rewrite))
                        .get("/rows-feed", (request, response) -> feed(request, response, rewrite))
                        .post("/rows-tx", this::handleTransaction)));
  }

  /** Returns the address of the store. */
  public String address() {
    return HOST + ":" + server.port();
  }

  /** Sets the fault for all further requests. */
  public void setFault(StoreFault newFault) {
    fault = newFault;
  }

  /** Content of the store at a point in time. */
  public static final class Snapshot {

    private final Map<String, Map<String, StoredRow>> tables = new TreeMap<>();
    private final long revision;

    private Snapshot(StoreStandIn store) {
      store.tables.forEach((name, rows) -> tables.put(name, new TreeMap<>(rows)));
      revision = store.revision;
    }
  }

  /** Returns a snapshot of all rows. */
  public synchronized Snapshot snapshot() {
    return new Snapshot(this);
  }

  /** Restores a snapshot and begins a new epoch; later revisions are assigned again. */
  public synchronized void restore(Snapshot snapshot) {
    tables.clear();
    snapshot.tables.forEach((name, rows) -> tables.put(name, new TreeMap<>(rows)));
    revision = snapshot.revision;
    epoch++;
  }

  /** Writes a row. */
  public void put(String table, String key, String json) {
    put(table, key, json.getBytes(StandardCharsets.UTF_8));
  }

  private synchronized void put(String table, String key, byte[] value) {
    revision++;
    StoredRow row = new StoredRow(key, value, revision, false);
    tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, row);
  }

  /** Returns the keys of the existing rows of a table. */
  public synchronized List<String> keys(String table) {
    return tables.getOrDefault(table, Map.of()).values().stream()
        .filter(row -> !row.removed())
        .map(StoredRow::key)
        .toList();
  }

  /** Returns the size of the values of a table. */
  public synchronized int valueBytes(String table) {
    return tables.getOrDefault(table, Map.of()).values().stream()
        .mapToInt(row -> row.value().length)
        .sum();
  }

  /** Removes a row. */
  public synchronized void remove(String table, String key) {
    revision++;
    tables
        .computeIfAbsent(table, name -> new TreeMap<>())
        .put(key, new StoredRow(key, new byte[0], revision, true));
  }

  private Publisher<Void> get(
      HttpServerRequest request, HttpServerResponse response, UnaryOperator<String> rewrite) {
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    return replyUnlessFaulty(
        response,
        () ->
            StandInHttp.sendJson(response, OK, rows(parameter(query, "table"), 0, false, rewrite)));
  }

  private Publisher<Void> feed(
      HttpServerRequest request, HttpServerResponse response, UnaryOperator<String> rewrite) {
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    String table = parameter(query, "table");
    long afterRevision = Long.parseLong(parameter(query, "after_revision"));
    long waitMillis = Long.parseLong(parameter(query, "wait_ms"));
    if (fault == StoreFault.FORGETFUL || isUnknownRevision(afterRevision)) {
      return StandInHttp.sendJson(withEpoch(response), GONE, "{}".getBytes(StandardCharsets.UTF_8));
    }
    return replyUnlessFaulty(
        response,
        () ->
            Mono.delay(POLL_INTERVAL)
                .repeat(waitMillis / POLL_INTERVAL.toMillis())
                .takeUntil(
                    tick ->
                        isUnknownRevision(afterRevision) || hasChangedSince(table, afterRevision))
                .then(
                    Mono.defer(
                        () ->
                            StandInHttp.sendJson(
                                withEpoch(response),
                                OK,
                                rows(table, afterRevision, true, rewrite)))));
  }

  private Publisher<Void> handleTransaction(
      HttpServerRequest request, HttpServerResponse response) {
    return request
        .receive()
        .aggregate()
        .asByteArray()
        .flatMap(
            body ->
                Mono.from(
                    replyUnlessFaulty(
                        response,
                        () -> replyToTransaction(response, apply(StandInHttp.parseJson(body))))));
  }

  private Publisher<Void> replyToTransaction(HttpServerResponse response, boolean committed) {
    return StandInHttp.sendJson(
        response, committed ? OK : PRECONDITION_FAILED, "{}".getBytes(StandardCharsets.UTF_8));
  }

  /** Applies a transaction unless a row exists that it requires to be absent. */
  private synchronized boolean apply(JsonNode transaction) {
    for (JsonNode row : transaction.path("expected_revision")) {
      if (row.path("ver").asLong() == 0
          && find(row).filter(found -> !found.removed()).isPresent()) {
        return false;
      }
    }
    transaction
        .path("put")
        .forEach(row -> put(tableOf(row), keyOf(row), decodeBase64(row.path("value").asText())));
    transaction.path("remove").forEach(row -> remove(tableOf(row), keyOf(row)));
    return true;
  }

  private Optional<StoredRow> find(JsonNode row) {
    return Optional.ofNullable(tables.getOrDefault(tableOf(row), Map.of()).get(keyOf(row)));
  }

  private static String tableOf(JsonNode row) {
    return row.path("table").asText();
  }

  private static String keyOf(JsonNode row) {
    return row.path("private_key").asText();
  }

  private static byte[] decodeBase64(String value) {
    return Base64.getDecoder().decode(value);
  }

  private Publisher<Void> replyUnlessFaulty(
      HttpServerResponse response, Supplier<Publisher<Void>> reply) {
    return switch (fault) {
      case BUSY -> StandInHttp.sendJson(response, UNAVAILABLE, new byte[0]);
      case SILENT -> Mono.never();
      default -> {
        withEpoch(response);
        yield reply.get();
      }
    };
  }

  /** Returns whether a revision is higher than the current one. */
  private synchronized boolean isUnknownRevision(long afterRevision) {
    return afterRevision > revision;
  }

  /** Adds the epoch to a response; the epoch counts the restores of the store. */
  private synchronized HttpServerResponse withEpoch(HttpServerResponse response) {
    return response.header("Store-Era", String.valueOf(epoch));
  }

  private synchronized boolean hasChangedSince(String table, long afterRevision) {
    return tables.getOrDefault(table, Map.of()).values().stream()
        .anyMatch(row -> row.revision() > afterRevision);
  }

  private synchronized ObjectNode rows(
      String table, long afterRevision, boolean includeRemoved, UnaryOperator<String> rewrite) {
    ObjectNode result = JsonNodeFactory.instance.objectNode();
    ArrayNode array = result.putArray("rows");
    tables.getOrDefault(table, Map.of()).values().stream()
        .filter(row -> row.revision() > afterRevision && (includeRemoved || !row.removed()))
        .sorted(Comparator.comparingLong(StoredRow::revision))
        .forEach(row -> row.writeTo(array.addObject(), table, rewrite));
    result.put("more", false).put("ver", revision);
    return result;
  }

  private static String parameter(QueryStringDecoder query, String name) {
    return query.parameters().getOrDefault(name, List.of("")).get(0);
  }

  @Override
  public void close() {
    server.close();
    views.forEach(StandInServer::close);
  }
}
