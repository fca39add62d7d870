import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.TreeMap;

/**
 * Two of three boxes of a zone are stopped in turn while clients ask for streams of six seconds.
 * Rule LOST: what a box takes later than 3 s after its SIGTERM it must not give up.
 */
final class StopsInTurn {
  private static final int ENGINES = 6;
  private static final int BOXES = 3;
  private static final long GAP_MS = 1_000;
  private static final long GRACE_MS = 8_000;
  private static final long EXCUSED_MS = 3_000;
  private static final int PER_SECOND = 60;
  private static final long SENDING_MS = 9_000;
  private static final long TROUBLE_AT_MS = 2_000;

  private final Path root;
  private final boolean trouble;
  private final List<String> record = Collections.synchronizedList(new ArrayList<>());
  private final List<String> lost = Collections.synchronizedList(new ArrayList<>());
  private final TreeMap<String, Integer> ends = new TreeMap<>();
  private final long[] termNanos = new long[BOXES];
  private List<Box> boxes = List.of();

  private StopsInTurn(Path root, boolean trouble) {
    this.root = root;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[0]).toAbsolutePath();
    Path root = Path.of(arguments[1]).toAbsolutePath();
    StopsInTurn test = new StopsInTurn(root, !"0".equals(System.getenv("TROUBLE")));
    int result = 2;
    try {
      result = test.run(Work.folder()) ? 0 : 1;
    } catch (Exception e) {
      test.record.add("could not run: " + e);
    } finally {
      for (Box box : test.boxes) {
        box.kill();
      }
      Files.write(folder.resolve("record.txt"), test.record);
      test.record.forEach(System.out::println);
    }
    System.exit(result);
  }

  private boolean run(Path work) throws Exception {
    Store store = new Store();
    StreamEngines engines = new StreamEngines(ENGINES);
    store.put("op", "config", configuration());
    for (int engine = 0; engine < ENGINES; engine++) {
      store.put(
          "servers",
          StreamEngines.id(engine),
          Setup.entry(engines.address(engine), "ready", 1).replace("\"slots\":6", "\"slots\":128"));
    }
    boxes = Box.prepare(root, work, BOXES, store.address());
    for (Box box : boxes) {
      box.start();
    }
    for (Box box : boxes) {
      box.awaitReady(20_000);
    }
    Ingress ingress = new Ingress(boxes);
    Thread.sleep(3_000);
    List<Thread> stops = new ArrayList<>();
    for (int box = 0; trouble && box < BOXES - 1; box++) {
      int number = box;
      stops.add(new Thread(() -> stop(number, TROUBLE_AT_MS + number * GAP_MS)));
    }
    stops.forEach(Thread::start);
    List<Thread> clients = new ArrayList<>();
    long startNanos = System.nanoTime();
    for (int client = 0; client < SENDING_MS * PER_SECOND / 1_000; client++) {
      long due = startNanos + client * 1_000_000_000L / PER_SECOND;
      long wait = (due - System.nanoTime()) / 1_000_000;
      if (wait > 0) {
        Thread.sleep(wait);
      }
      int number = client;
      Thread thread = new Thread(null, () -> ask(number, ingress.nodeFor(number)), "client", 131072);
      thread.start();
      clients.add(thread);
    }
    for (Thread client : clients) {
      client.join();
    }
    for (Thread stop : stops) {
      stop.join();
    }
    ends.forEach((end, count) -> record.add(end + ": " + count));
    lost.forEach(record::add);
    record.add(lost.isEmpty() ? "held" : "broken");
    return lost.isEmpty();
  }

  private void stop(int box, long afterMs) {
    try {
      Thread.sleep(afterMs);
      synchronized (termNanos) {
        termNanos[box] = System.nanoTime();
      }
      record.add("SIGTERM to box " + box);
      boxes.get(box).terminate();
      record.add("box " + box + " ended "
          + (System.nanoTime() - termNanos[box]) / 1_000_000 + " ms later");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends one request on a new connection and reads its answer to the end. */
  private void ask(int client, int box) {
    String id = "5b4ae708e9e8" + String.format("%04x", client);
    long sentNanos = System.nanoTime();
    Http.Answer answer = null;
    boolean connected = false;
    try (Socket socket = new Socket("127.0.0.1", boxes.get(box).front)) {
      connected = true;
      socket.setSoTimeout(16_000);
      byte[] body = "describe the specimen".getBytes(StandardCharsets.US_ASCII);
      OutputStream out = socket.getOutputStream();
      out.write(
          Setup.requestHead("POST", "/specimen/text", id, body.length, 15_000)
              .getBytes(StandardCharsets.US_ASCII));
      out.write(body);
      answer = Http.readAnswer(socket.getInputStream());
    } catch (IOException e) {
      answer = null;
    }
    long endNanos = System.nanoTime();
    String end;
    if (answer == null) {
      end = connected ? "closed without an answer" : "not connected";
    } else {
      int events = answer.text().split("id: ", -1).length - 1;
      boolean whole = answer.whole() && events == StreamEngines.EVENTS;
      end = answer.head().status() == 200 ? (whole ? "whole" : "cut") : "" + answer.head().status();
    }
    synchronized (ends) {
      ends.merge(end, 1, Integer::sum);
    }
    long term;
    synchronized (termNanos) {
      term = termNanos[box];
    }
    long sentMs = (sentNanos - term) / 1_000_000;
    long endMs = (endNanos - term) / 1_000_000;
    if (end.equals("cut") && term != 0 && sentMs > EXCUSED_MS && endMs < GRACE_MS + 1_000) {
      lost.add("request " + id + " sent to box " + box + " " + sentMs
          + " ms after its SIGTERM was cut in the middle of its answer at " + endMs + " ms");
    }
  }

  private static String configuration() {
    return "{\"version\":7,\"routes\":[{\"name\":\"r-specimen\",\"host\":\"" + Setup.HOST
        + "\",\"path_prefix\":\"/specimen/\",\"kind\":\"streaming\",\"timeout_ms\":15000,"
        + "\"target_latency_ms\":2700,\"priority\":2,\"service\":\"ledger\",\"max_attempts\":2,"
        + "\"stages\":[],\"public\":false,\"sticky_sessions\":true,\"stream_resume\":true,"
        + "\"target_gap_ms\":500}],\"services\":[{\"name\":\"ledger\",\"health_path\":\"/health\","
        + "\"max_connections\":500,\"protocol\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"bozi300\",\"api_keys\":[\"" + Setup.KEY
        + "\"],\"priority\":1}]}";
  }
}
