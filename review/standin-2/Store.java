import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store: rows, their changes and transactions, as the pages describe them. */
final class Store implements AutoCloseable {
  private record Row(String table, String key, String value, long ver, boolean gone) {}

  private final HttpServer server;
  private final Map<String, Row> rows = new TreeMap<>();
  private final long startNanos = System.nanoTime();
  private long ver = 1;

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
    server.setExecutor(Executors.newCachedThreadPool(Daemon::new));
    server.createContext("/rows-get", this::get);
    server.createContext("/rows-feed", this::feed);
    server.createContext("/rows-tx", this::transaction);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  synchronized void put(String table, String key, String json) {
    String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
    rows.put(table + "\n" + key, new Row(table, key, value, ++ver, false));
    notifyAll();
  }

  synchronized void remove(String table, String key) {
    rows.put(table + "\n" + key, new Row(table, key, "", ++ver, true));
    notifyAll();
  }

  private void get(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    String from = query.getOrDefault("source", "");
    String body;
    synchronized (this) {
      body = answer(row -> row.table().equals(query.get("table")) && !row.gone()
          && row.key().compareTo(from) >= 0);
    }
    reply(exchange, 200, body);
  }

  private void feed(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    long after = Long.parseLong(query.get("after_revision"));
    long endNanos = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
    String table = query.get("table");
    String body;
    synchronized (this) {
      long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
      while (leftMillis > 0
          && rows.values().stream().noneMatch(row -> row.table().equals(table) && row.ver() > after)) {
        try {
          wait(leftMillis);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return;
        }
        leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
      }
      body = answer(row -> row.table().equals(table) && row.ver() > after);
    }
    reply(exchange, 200, body);
  }

  private String answer(java.util.function.Predicate<Row> wanted) {
    List<String> texts = new ArrayList<>();
    rows.values().stream().filter(wanted).sorted(Comparator.comparingLong(Row::ver)).forEach(row ->
        texts.add("{\"table\":\"" + row.table() + "\",\"part\":\"\",\"private_key\":"
            + Json.quote(row.key()) + ",\"value\":\"" + row.value() + "\",\"ver\":" + row.ver()
            + (row.gone() ? ",\"gone\":true" : "") + "}"));
    return "{\"rows\":[" + String.join(",", texts) + "],\"more\":false,\"ver\":" + ver
        + ",\"now_ms\":" + (System.nanoTime() - startNanos) / 1_000_000 + "}";
  }

  @SuppressWarnings("unchecked")
  private void transaction(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    Map<String, Object> call = (Map<String, Object>) Json.parse(body);
    boolean met = true;
    synchronized (this) {
      for (Object each : (List<Object>) call.getOrDefault("expected_revision", List.of())) {
        Map<String, Object> row = (Map<String, Object>) each;
        Row known = rows.get(row.get("table") + "\n" + row.get("private_key"));
        long now = known == null || known.gone() ? 0 : known.ver();
        met &= now == ((Double) row.get("ver")).longValue();
      }
      if (met) {
        ver++;
        for (Object each : (List<Object>) call.getOrDefault("put", List.of())) {
          Map<String, Object> row = (Map<String, Object>) each;
          String table = (String) row.get("table");
          String key = (String) row.get("private_key");
          rows.put(table + "\n" + key, new Row(table, key, (String) row.get("value"), ver, false));
        }
        for (Object each : (List<Object>) call.getOrDefault("remove", List.of())) {
          Map<String, Object> row = (Map<String, Object>) each;
          String table = (String) row.get("table");
          String key = (String) row.get("private_key");
          rows.put(table + "\n" + key, new Row(table, key, "", ver, true));
        }
        notifyAll();
      }
    }
    reply(exchange, met ? 200 : 412, "{\"rows\":[],\"ver\":" + ver + ",\"now_ms\":1}");
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> fields = new HashMap<>();
    for (String part : exchange.getRequestURI().getRawQuery().split("&")) {
      int equals = part.indexOf('=');
      fields.put(part.substring(0, equals),
          URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return fields;
  }

  private static void reply(HttpExchange exchange, int status, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
