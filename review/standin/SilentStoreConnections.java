import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The open connections to the store go silent, without a reset, while new ones work; meanwhile the
 * configuration moves a route to another service. Rule CONFIG: boxes in touch must not let the old
 * service run requests sent more than config_apply_ms after the version's acknowledgement.
 */
final class SilentStoreConnections {
  private static final long CONFIG_APPLY_MS = 2_000;
  private static final long CONTACT_MS = 3_000;
  /** Boxes of a small deployment, and of one in which heartbeats go over relays. */
  private static final int[] SIZES = {6, 14};

  private static final long[] WATCH_MS = {7_000, 30_000};
  private static final long GAP_MS = 100;

  private record Sent(int box, long nanos) {}

  private final Path root;
  private final boolean trouble;
  private final int boxCount;
  private final long watchMs;
  private final List<String> record;
  private final Map<String, Sent> sent = new ConcurrentHashMap<>();
  private final Map<String, Integer> ranAt = new ConcurrentHashMap<>();
  private List<Box> boxes = List.of();

  private SilentStoreConnections(
      Path root, int boxCount, long watchMs, boolean trouble, List<String> record) {
    this.root = root;
    this.boxCount = boxCount;
    this.watchMs = watchMs;
    this.trouble = trouble;
    this.record = record;
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[0]).toAbsolutePath();
    Path root = Path.of(arguments[1]).toAbsolutePath();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    List<String> record = Collections.synchronizedList(new ArrayList<>());
    int result = 0;
    for (int size = 0; size < SIZES.length && result < 2; size++) {
      SilentStoreConnections test =
          new SilentStoreConnections(root, SIZES[size], WATCH_MS[size], trouble, record);
      try {
        result = test.run(Work.folder()) ? result : 1;
      } catch (Exception e) {
        record.add("could not run: " + e);
        result = 2;
      } finally {
        for (Box box : test.boxes) {
          box.kill();
        }
      }
    }
    Files.write(folder.resolve("record.txt"), record);
    record.forEach(System.out::println);
    System.exit(result);
  }

  private boolean run(Path work) throws Exception {
    record.add(boxCount + " boxes");
    Store store = new Store();
    SilencingProxy proxy = new SilencingProxy(store.address());
    EngineFarm engines = new EngineFarm(2, 5, (engine, id, nanos) -> ranAt.put(id, engine));
    store.put("op", "config", configuration(7, "ledger"));
    store.put("servers", EngineFarm.id(0), entry(engines, 0, "ledger"));
    store.put("servers", EngineFarm.id(1), entry(engines, 1, "register"));
    boxes = Box.prepare(root, work, boxCount, proxy.address());
    for (Box box : boxes) {
      box.start();
    }
    for (Box box : boxes) {
      box.awaitReady(30_000);
    }
    Thread.sleep(6_000);
    store.put("op", "config", configuration(9, "ledger"));
    record.add("version 9 acknowledged, changes a target time");
    Thread.sleep(200);
    long silentNanos = System.nanoTime();
    if (trouble) {
      record.add(proxy.silence() + " open connections to the store are silent from now on");
    }
    Thread.sleep(100);
    store.put("op", "config", configuration(12, "register"));
    long acknowledgedNanos = System.nanoTime();
    record.add("version 12 acknowledged, moves the route from ledger to register");
    long judgedNanos =
        Math.max(silentNanos + CONTACT_MS * 1_000_000,
            acknowledgedNanos + CONFIG_APPLY_MS * 1_000_000);
    List<Thread> callers = new ArrayList<>();
    for (int box = 0; box < boxCount; box++) {
      int number = box;
      callers.add(new Thread(() -> call(number)));
    }
    callers.forEach(Thread::start);
    for (Thread caller : callers) {
      caller.join();
    }
    return judge(acknowledgedNanos, judgedNanos);
  }

  private boolean judge(long acknowledgedNanos, long judgedNanos) {
    int[] stale = new int[boxCount];
    long[] lastMs = new long[boxCount];
    int judged = 0;
    for (Map.Entry<String, Sent> each : sent.entrySet()) {
      Integer engine = ranAt.get(each.getKey());
      if (engine == null || each.getValue().nanos() <= judgedNanos) {
        continue;
      }
      judged++;
      if (engine == 0) {
        int box = each.getValue().box();
        stale[box]++;
        long ms = (each.getValue().nanos() - acknowledgedNanos) / 1_000_000;
        lastMs[box] = Math.max(lastMs[box], ms);
      }
    }
    int total = 0;
    for (int box = 0; box < boxCount; box++) {
      total += stale[box];
      if (stale[box] > 0) {
        record.add("box " + box + ": the old service ran " + stale[box]
            + " judged requests, the last sent " + lastMs[box] + " ms after version 12 was taken");
      }
    }
    record.add(sent.size() + " requests sent, " + judged + " judged, " + total
        + " of them run by the old service");
    record.add(total == 0 ? "held" : "broken");
    return total == 0;
  }

  private static String configuration(int version, String service) {
    return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-seat\",\"host\":\"" + Setup.HOST
        + "\",\"path_prefix\":\"/seat/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
        + "\"target_latency_ms\":" + (1_000 + version) + ",\"priority\":2,\"service\":\""
        + service + "\",\"max_attempts\":1,\"stages\":[],\"public\":false,"
        + "\"sticky_sessions\":false}],\"services\":[" + service("ledger") + ","
        + service("register") + "],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"bozi300\",\"api_keys\":[\"" + Setup.KEY
        + "\"],\"priority\":1}]}";
  }

  private static String service(String name) {
    return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":96,"
        + "\"protocol\":\"h1\",\"tls\":false}";
  }

  private static String entry(EngineFarm engines, int engine, String service) {
    return Setup.entry(engines.address(engine), "ready", 1)
        .replace("\"ledger\"", '"' + service + '"');
  }

  /** Sends a request to one box every now and then, each on a new connection. */
  private void call(int box) {
    long end = System.nanoTime() + watchMs * 1_000_000;
    for (int number = 0; System.nanoTime() < end; number++) {
      String id = "b" + box + "-" + number;
      try (Socket socket = new Socket("127.0.0.1", boxes.get(box).front)) {
        socket.setSoTimeout(3_000);
        OutputStream out = socket.getOutputStream();
        sent.put(id, new Sent(box, System.nanoTime()));
        out.write(
            Setup.requestHead("POST", "/seat/hold", id, 0, 2_000)
                .getBytes(StandardCharsets.US_ASCII));
        Http.readAnswer(socket.getInputStream());
        Thread.sleep(GAP_MS);
      } catch (IOException e) {
        // the next request follows
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
