import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A store, boxes and engines of one case, and its record. */
final class Fleet implements AutoCloseable {
  static final String KEY = "Authorization: Bearer key-of-a\r\n";
  static final String OTHER_KEY = "Authorization: Bearer key-of-b\r\n";

  final Store store = new Store();
  final List<Box> boxes = new ArrayList<>();
  final List<Engine> engines = new ArrayList<>();
  final Path directory = Files.createTempDirectory("gradeledge-review");
  final Record record;

  Fleet(Record record) throws IOException {
    this.record = record;
    Runtime.getRuntime().addShutdownHook(new Thread(() -> boxes.forEach(Box::close)));
  }

  static String config(int version, List<String> routes, List<String> services) {
    return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
        + "],\"services\":[" + String.join(",", services)
        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
        + "{\"name\":\"tenant-a\",\"api_keys\":[\"key-of-a\"],\"priority\":1},"
        + "{\"name\":\"tenant-b\",\"api_keys\":[\"key-of-b\"],\"priority\":1}]}";
  }

  static String route(String prefix, String kind, int timeoutMillis, String service, String more) {
    return "{\"name\":\"r-" + prefix.replace("/", "") + "\",\"host\":\"app.example\",\"path_prefix\":\""
        + prefix + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMillis
        + ",\"target_latency_ms\":1600,\"priority\":1,\"service\":\"" + service
        + "\",\"max_attempts\":2,\"public\":false" + more + "}";
  }

  static String service(String name, String more) {
    return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":610,"
        + "\"protocol\":\"h1\",\"tls\":false" + more + "}";
  }

  void list(Engine engine) {
    engines.add(engine);
    store.put("servers", engine.id, engine.row("ready"));
  }

  void startBoxes(int count) throws IOException, InterruptedException {
    for (int number = 0; number < count; number++) {
      boxes.add(new Box(number, directory));
    }
    for (Box box : boxes) {
      box.start("zone-a", store.address(), boxes);
    }
    for (Box box : boxes) {
      box.awaitReady(30);
    }
    Thread.sleep(2_000);
  }

  @Override
  public void close() throws IOException {
    boxes.forEach(Box::close);
    for (Engine engine : engines) {
      engine.close();
    }
    store.close();
  }
}
