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
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's store, as far as boxes use it: rows of tables with an empty part, one counter of
 * versions, at most 500 rows an answer, and 4 ms an answer.
 */
final class Store {
  private static final int MOST_ROWS = 500;
  private static final long ANSWER_MS = 4;
  private static final Pattern ROW =
      Pattern.compile(
          "\\{\"table\":\"([^\"]*)\",\"part\":\"[^\"]*\",\"private_key\":\"([^\"]*)\""
              + "(?:,\"value\":\"([^\"]*)\")?(?:,\"ver\":(\\d+))?[^}]*\\}");

  private record Row(String key, byte[] value, long ver, boolean gone) {}

  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final HttpServer server;
  private final long startNanos = System.nanoTime();
  private long ver = 100;

  Store() throws IOException {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/rows-get", this::get);
    server.createContext("/rows-feed", this::feed);
    server.createContext("/rows-tx", this::transact);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  void stop() {
    server.stop(0);
  }

  /** Writes a row and returns its version once the store has taken it. */
  synchronized long put(String table, String key, String json) {
    return write(table, key, json.getBytes(StandardCharsets.UTF_8), false);
  }

  /** Removes a row. */
  synchronized long remove(String table, String key) {
    return write(table, key, new byte[0], true);
  }

  private long write(String table, String key, byte[] value, boolean gone) {
    ver++;
    tables
        .computeIfAbsent(table, name -> new TreeMap<>())
        .put(key, new Row(key, value, ver, gone));
    notifyAll();
    return ver;
  }

  private void get(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    String source = query.getOrDefault("source", "");
    int most = Math.min(MOST_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
    StringBuilder text = new StringBuilder("{\"rows\":[");
    synchronized (this) {
      List<Row> rows =
          tables.getOrDefault(query.get("table"), new TreeMap<>()).tailMap(source).values().stream()
              .filter(row -> !row.gone())
              .toList();
      append(text, query.get("table"), rows.subList(0, Math.min(most, rows.size())));
      text.append("],\"more\":").append(rows.size() > most);
      text.append(",\"ver\":").append(ver).append(",\"now_ms\":").append(now()).append('}');
    }
    answer(exchange, 200, text.toString());
  }

  private void feed(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    long after = Long.parseLong(query.get("after_revision"));
    long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
    StringBuilder text = new StringBuilder("{\"rows\":[");
    synchronized (this) {
      List<Row> rows = changed(query.get("table"), after);
      long left = (end - System.nanoTime()) / 1_000_000;
      while (rows.isEmpty() && left > 0) {
        try {
          wait(left);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return;
        }
        rows = changed(query.get("table"), after);
        left = (end - System.nanoTime()) / 1_000_000;
      }
      append(text, query.get("table"), rows);
      text.append("],\"ver\":").append(ver).append(",\"now_ms\":").append(now()).append('}');
    }
    answer(exchange, 200, text.toString());
  }

  private List<Row> changed(String table, long after) {
    List<Row> rows = new ArrayList<>();
    tables.getOrDefault(table, new TreeMap<>()).values().stream()
        .filter(row -> row.ver() > after)
        .sorted(Comparator.comparingLong(Row::ver))
        .forEach(rows::add);
    return rows;
  }

  private void transact(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    boolean holds = true;
    synchronized (this) {
      for (Matcher row = rowsUnder(body, "expected_revision"); row.find(); ) {
        Row found = tables.getOrDefault(row.group(1), new TreeMap<>()).get(row.group(2));
        long current = found == null || found.gone() ? 0 : found.ver();
        holds &= current == Long.parseLong(row.group(4));
      }
      if (holds) {
        for (Matcher row = rowsUnder(body, "put"); row.find(); ) {
          write(row.group(1), row.group(2), Base64.getDecoder().decode(row.group(3)), false);
        }
        for (Matcher row = rowsUnder(body, "remove"); row.find(); ) {
          write(row.group(1), row.group(2), new byte[0], true);
        }
      }
    }
    answer(exchange, holds ? 200 : 412, "{\"ver\":" + ver + ",\"now_ms\":" + now() + "}");
  }

  private static Matcher rowsUnder(String body, String name) {
    int start = body.indexOf("\"" + name + "\":[");
    int end = start < 0 ? 0 : body.indexOf(']', start);
    return ROW.matcher(start < 0 ? "" : body.substring(start, end));
  }

  private static void append(StringBuilder text, String table, List<Row> rows) {
    String comma = "";
    for (Row row : rows) {
      text.append(comma).append("{\"table\":\"").append(table).append("\",\"part\":\"\",");
      text.append("\"private_key\":\"").append(row.key()).append("\",\"value\":\"");
      text.append(Base64.getEncoder().encodeToString(row.value())).append("\",\"ver\":");
      text.append(row.ver()).append(row.gone() ? ",\"gone\":true}" : "}");
      comma = ",";
    }
  }

  private long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    for (String part : exchange.getRequestURI().getRawQuery().split("&")) {
      int equals = part.indexOf('=');
      query.put(
          part.substring(0, equals),
          URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private static void answer(HttpExchange exchange, int status, String json) throws IOException {
    try {
      Thread.sleep(ANSWER_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }
}
