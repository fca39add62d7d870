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
import java.util.function.Supplier;
import org.gradeledge.standin.StandInHttp;
import org.gradeledge.standin.StandInServer;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Stand-in of the store: rows with versions, read at once or followed. In a drill it comes back as
 * an older copy of itself. Thread-safe.
 */
public final class StoreStandIn implements AutoCloseable {

  private static final String HOST = "127.0.0.1";
  private static final Duration POLL_INTERVAL = Duration.ofMillis(10);
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final int GONE = 410;
  private static final int PRECONDITION_FAILED = 412;

  private record Row(String key, byte[] value, long revision, boolean removed) {}

  private final Map<String, Map<String, Row>> tables = new TreeMap<>();
  private final StandInServer server;
  private volatile StoreFault fault = StoreFault.NONE;
  private long revision;
  private int epoch = 1;

  /** Starts the store on a free port. */
  public StoreStandIn() {
    server =
        StandInServer.start(
            HttpServer.create()
                .host(HOST)
                .port(0)
                .route(
                    routes ->
                        routes
                            .get("/rows-get", this::get)
                            .get("/rows-feed", this::feed)
                            .post("/rows-tx", this::handleTransaction)));
  }

  /** Returns where it listens. */
  public String address() {
    return HOST + ":" + server.port();
  }

  /** Sets what is wrong from now on. */
  public void setFault(StoreFault next) {
    fault = next;
  }

  /** What the store held at one moment. */
  public static final class Snapshot {

    private final Map<String, Map<String, Row>> tables = new TreeMap<>();
    private final long revision;

    private Snapshot(StoreStandIn store) {
      store.tables.forEach((name, rows) -> tables.put(name, new TreeMap<>(rows)));
      revision = store.revision;
    }
  }

  /** Returns a copy of all rows. */
  public synchronized Snapshot snapshot() {
    return new Snapshot(this);
  }

  /** Loses all that was written since a copy was taken; versions are given out again. */
  public synchronized void restore(Snapshot copy) {
    tables.clear();
    copy.tables.forEach((name, rows) -> tables.put(name, new TreeMap<>(rows)));
    revision = copy.revision;
    epoch++;
  }

  /** Writes a row. */
  public synchronized void put(String table, String key, String json) {
    revision++;
    Row row = new Row(key, json.getBytes(StandardCharsets.UTF_8), revision, false);
    tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, row);
  }

  /** Returns the keys of the rows of a table. */
  public synchronized List<String> keys(String table) {
    return tables.getOrDefault(table, Map.of()).values().stream()
        .filter(row -> !row.removed())
        .map(Row::key)
        .toList();
  }

  /** Removes a row. */
  public synchronized void remove(String table, String key) {
    revision++;
    tables
        .computeIfAbsent(table, name -> new TreeMap<>())
        .put(key, new Row(key, new byte[0], revision, true));
  }

  private Publisher<Void> get(HttpServerRequest request, HttpServerResponse response) {
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    return replyUnlessFaulty(
        response,
        () -> StandInHttp.sendJson(response, OK, rows(parameter(query, "table"), 0, false)));
  }

  private Publisher<Void> feed(HttpServerRequest request, HttpServerResponse response) {
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    String table = parameter(query, "table");
    long after = Long.parseLong(parameter(query, "after_revision"));
    long wait = Long.parseLong(parameter(query, "wait_ms"));
    if (fault == StoreFault.FORGETFUL || isUnknownRevision(after)) {
      return StandInHttp.sendJson(withEpoch(response), GONE, "{}".getBytes(StandardCharsets.UTF_8));
    }
    return replyUnlessFaulty(
        response,
        () ->
            Mono.delay(POLL_INTERVAL)
                .repeat(wait / POLL_INTERVAL.toMillis())
                .takeUntil(tick -> isUnknownRevision(after) || hasChangedSince(table, after))
                .then(
                    Mono.defer(
                        () ->
                            StandInHttp.sendJson(
                                withEpoch(response), OK, rows(table, after, true)))));
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

  private Publisher<Void> replyToTransaction(HttpServerResponse response, boolean done) {
    return StandInHttp.sendJson(
        response, done ? OK : PRECONDITION_FAILED, "{}".getBytes(StandardCharsets.UTF_8));
  }

  /** Does all of a transaction or, where a row is there that must not be, nothing. */
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

  private Optional<Row> find(JsonNode row) {
    return Optional.ofNullable(tables.getOrDefault(tableOf(row), Map.of()).get(keyOf(row)));
  }

  private static String tableOf(JsonNode row) {
    return row.path("table").asText();
  }

  private static String keyOf(JsonNode row) {
    return row.path("private_key").asText();
  }

  private static String decodeBase64(String value) {
    return new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
  }

  private Publisher<Void> replyUnlessFaulty(
      HttpServerResponse response, Supplier<Publisher<Void>> answer) {
    return switch (fault) {
      case BUSY -> StandInHttp.sendJson(response, UNAVAILABLE, new byte[0]);
      case SILENT -> Mono.never();
      default -> {
        withEpoch(response);
        yield answer.get();
      }
    };
  }

  /** Returns whether a version is one that the store does not have. */
  private synchronized boolean isUnknownRevision(long after) {
    return after > revision;
  }

  /** Tells in an answer how often the store has come back as a copy. */
  private synchronized HttpServerResponse withEpoch(HttpServerResponse response) {
    return response.header("Store-Era", String.valueOf(epoch));
  }

  private synchronized boolean hasChangedSince(String table, long after) {
    return tables.getOrDefault(table, Map.of()).values().stream()
        .anyMatch(row -> row.revision() > after);
  }

  private synchronized ObjectNode rows(String table, long after, boolean withGone) {
    ObjectNode answer = JsonNodeFactory.instance.objectNode();
    ArrayNode array = answer.putArray("rows");
    tables.getOrDefault(table, Map.of()).values().stream()
        .filter(row -> row.revision() > after && (withGone || !row.removed()))
        .sorted(Comparator.comparingLong(Row::revision))
        .forEach(row -> put(array.addObject(), table, row));
    answer.put("more", false).put("ver", revision);
    return answer;
  }

  private static void put(ObjectNode object, String table, Row row) {
    object.put("table", table).put("part", "").put("private_key", row.key());
    object.put("value", Base64.getEncoder().encodeToString(row.value())).put("ver", row.revision());
    if (row.removed()) {
      object.put("gone", true);
    }
  }

  private static String parameter(QueryStringDecoder query, String name) {
    return query.parameters().getOrDefault(name, List.of("")).get(0);
  }

  @Override
  public void close() {
    server.close();
  }
}
