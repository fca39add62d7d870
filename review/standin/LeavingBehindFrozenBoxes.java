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
import java.util.concurrent.TimeUnit;

/**
 * Two of three boxes of a zone freeze for four seconds; meanwhile an engine says that it drains.
 * Rule DRAIN: the boxes that do not freeze must not send it requests more than drain_ms later.
 */
final class LeavingBehindFrozenBoxes {
  private static final long DRAIN_MS = 2_000;
  private static final long CONTACT_MS = 3_000;
  private static final long FREEZE_MS = 4_000;
  private static final int ENGINES = 12;
  private static final int ZONE_SIZE = 3;
  private static final List<String> ZONES = List.of("hall-a", "hall-b", "hall-c");

  private final Path root;
  private final boolean trouble;
  private final List<String> record = Collections.synchronizedList(new ArrayList<>());
  private final Map<Integer, Long> leftNanos = new ConcurrentHashMap<>();
  private final Map<Integer, Long> inTouchNanos = new ConcurrentHashMap<>();
  private final Map<String, Integer> late = Collections.synchronizedMap(new java.util.TreeMap<>());
  private final Map<String, Long> latestMs = new ConcurrentHashMap<>();
  private List<Box> boxes = List.of();
  private volatile boolean sending = true;
  private volatile String round = "";

  private LeavingBehindFrozenBoxes(Path root, boolean trouble) {
    this.root = root;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[0]).toAbsolutePath();
    Path root = Path.of(arguments[1]).toAbsolutePath();
    LeavingBehindFrozenBoxes test =
        new LeavingBehindFrozenBoxes(root, !"0".equals(System.getenv("TROUBLE")));
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
    EngineFarm engines = new EngineFarm(ENGINES, 3, this::onRun);
    store.put("op", "config", Setup.configuration());
    for (int engine = 0; engine < ENGINES; engine++) {
      store.put(
          "servers", EngineFarm.id(engine), Setup.entry(engines.address(engine), "ready", 1));
    }
    List<String> zones = new ArrayList<>();
    ZONES.forEach(zone -> zones.addAll(Collections.nCopies(ZONE_SIZE, zone)));
    zones.addAll(Collections.nCopies(4, "hall-d"));
    boxes = Box.prepare(root, work, zones, store.address());
    for (Box box : boxes) {
      box.start();
    }
    for (Box box : boxes) {
      box.awaitReady(40_000);
    }
    for (int box = 0; box < boxes.size(); box++) {
      inTouchNanos.put(box, System.nanoTime() + CONTACT_MS * 1_000_000);
    }
    List<Thread> callers = new ArrayList<>();
    for (int box = 0; box < boxes.size(); box++) {
      int number = box;
      callers.add(new Thread(() -> call(number)));
    }
    callers.forEach(Thread::start);
    Thread.sleep(6_000);
    int engine = 0;
    for (int zone = 0; zone < ZONES.size(); zone++) {
      for (int spared = 0; spared < ZONE_SIZE; spared++) {
        round(store, engines, zone, spared, engine++);
      }
    }
    sending = false;
    for (Thread caller : callers) {
      caller.join();
    }
    late.forEach(
        (key, count) ->
            record.add(key + ": " + count + " requests later than " + DRAIN_MS
                + " ms, the last after " + latestMs.get(key) + " ms"));
    record.add(late.isEmpty() ? "held" : "broken");
    return late.isEmpty();
  }

  private void round(Store store, EngineFarm engines, int zone, int spared, int engine)
      throws Exception {
    List<Integer> frozen = new ArrayList<>();
    for (int box = zone * ZONE_SIZE; trouble && box < (zone + 1) * ZONE_SIZE; box++) {
      if (box != zone * ZONE_SIZE + spared) {
        frozen.add(box);
      }
    }
    round = "boxes " + frozen + " of " + ZONES.get(zone) + " frozen";
    for (int box : frozen) {
      inTouchNanos.put(box, Long.MAX_VALUE);
      signal("STOP", boxes.get(box));
    }
    Thread.sleep(200);
    store.put("servers", EngineFarm.id(engine), Setup.entry(engines.address(engine), "draining", 2));
    leftNanos.put(engine, System.nanoTime());
    record.add(round + ", " + EngineFarm.id(engine) + " drains");
    Thread.sleep(FREEZE_MS - 200);
    for (int box : frozen) {
      signal("CONT", boxes.get(box));
      inTouchNanos.put(box, System.nanoTime() + CONTACT_MS * 1_000_000);
    }
    Thread.sleep(3_500);
  }

  private static void signal(String name, Box box) throws IOException, InterruptedException {
    Process kill =
        new ProcessBuilder("kill", "-" + name, String.valueOf(box.pid())).inheritIO().start();
    if (!kill.waitFor(2, TimeUnit.SECONDS) || kill.exitValue() != 0) {
      throw new IOException("kill -" + name + " failed");
    }
  }

  private void onRun(int engine, String id, long nanos) {
    Long left = leftNanos.get(engine);
    int box = Integer.parseInt(id.substring(1, id.indexOf('-')));
    if (left != null
        && nanos - left > DRAIN_MS * 1_000_000
        && nanos > inTouchNanos.getOrDefault(box, Long.MAX_VALUE)) {
      String key = round + ", box " + box + " to " + EngineFarm.id(engine);
      late.merge(key, 1, Integer::sum);
      latestMs.merge(key, (nanos - left) / 1_000_000, Math::max);
    }
  }

  /** Sends requests to one box, one after the other. */
  private void call(int box) {
    for (int number = 0; sending; ) {
      try (Socket socket = new Socket("127.0.0.1", boxes.get(box).front)) {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(2_500);
        OutputStream out = socket.getOutputStream();
        boolean open = true;
        while (sending && open) {
          String id = "b" + box + "-" + number++;
          out.write(
              Setup.requestHead("GET", "/again/seat", id, 0, 2_000)
                  .getBytes(StandardCharsets.US_ASCII));
          Http.Answer answer = Http.readAnswer(socket.getInputStream());
          open = answer != null && answer.head().status() == 200;
          Thread.sleep(8);
        }
      } catch (IOException e) {
        // the next connection follows
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
