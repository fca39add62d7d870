import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All boxes are killed and start again while engines of a long list leave. Rule DRAIN: no request
 * may reach an engine more than drain_ms after the store has acknowledged that it is draining.
 */
final class LeavingWhileStarting {
  private static final int ENGINES = 1_200;
  private static final double LEAVING_SHARE = 0.15;
  private static final long LEAVING_GAP_MS = 5;
  private static final int BOXES = 3;
  private static final long DRAIN_MS = 2_000;
  private static final long CONTACT_MS = 3_000;
  private static final long SERVE_ON_MS = 20_000;
  private static final int CALLERS = 12;
  private static final int ROUNDS = 4;

  private final Path root;
  private final boolean trouble;
  private final List<String> record = Collections.synchronizedList(new ArrayList<>());
  private final Map<Integer, Long> leftNanos = new ConcurrentHashMap<>();
  private final List<String> late = Collections.synchronizedList(new ArrayList<>());
  private final Map<Integer, Integer> lateByEngine = new ConcurrentHashMap<>();
  private final AtomicInteger ran = new AtomicInteger();
  private final Map<Integer, Integer> statuses = new TreeMap<>();
  private List<Box> boxes = List.of();
  private volatile long inTouchNanos = Long.MAX_VALUE;
  private volatile boolean sending = true;

  private LeavingWhileStarting(Path root, boolean trouble) {
    this.root = root;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[0]).toAbsolutePath();
    Path root = Path.of(arguments[1]).toAbsolutePath();
    LeavingWhileStarting test =
        new LeavingWhileStarting(root, !"0".equals(System.getenv("TROUBLE")));
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
    EngineFarm engines = new EngineFarm(ENGINES, 2, this::onRun);
    store.put("op", "config", Setup.configuration());
    for (int engine = 0; engine < ENGINES; engine++) {
      store.put("servers", EngineFarm.id(engine), entry(engines, engine, "ready", 1));
    }
    boxes = Box.prepare(root, work, BOXES, store.address());
    startAll();
    inTouchNanos = System.nanoTime() + CONTACT_MS * 1_000_000;
    List<Thread> callers = new ArrayList<>();
    for (int caller = 0; caller < CALLERS; caller++) {
      int number = caller;
      callers.add(new Thread(() -> call(number)));
    }
    callers.forEach(Thread::start);
    Thread.sleep(4_000);
    for (int round = 0; round < ROUNDS; round++) {
      scaleIn(store, engines);
      Thread.sleep(DRAIN_MS + CONTACT_MS + 1_000);
    }
    Thread.sleep(SERVE_ON_MS);
    sending = false;
    for (Thread caller : callers) {
      caller.join();
    }
    record.add("answers by status, 0 for none: " + statuses + "; engines ran " + ran);
    record.add(late.size() + " requests reached " + lateByEngine.size()
        + " draining engines later than " + DRAIN_MS + " ms, by boxes in touch");
    late.stream().limit(40).forEach(record::add);
    record.add(late.isEmpty() ? "held" : "broken");
    return late.isEmpty();
  }

  /** Drains a share of the engines; with trouble, while all boxes start again. */
  private void scaleIn(Store store, EngineFarm engines) throws Exception {
    Thread leaving = new Thread(() -> leave(store, engines));
    if (trouble) {
      inTouchNanos = Long.MAX_VALUE;
      for (Box box : boxes) {
        box.kill();
      }
      record.add("all boxes killed");
      for (Box box : boxes) {
        box.start();
      }
      boxes.get(0).awaitListening(20_000);
      leaving.start();
      for (Box box : boxes) {
        box.awaitReady(20_000);
      }
      leaving.join();
      inTouchNanos = System.nanoTime() + CONTACT_MS * 1_000_000;
      record.add("all boxes ready again");
    } else {
      leaving.start();
      leaving.join();
    }
    record.add(leftNanos.size() + " of " + ENGINES + " engines draining, all acknowledged");
  }

  private void startAll() throws IOException, InterruptedException {
    for (Box box : boxes) {
      box.start();
    }
    for (Box box : boxes) {
      box.awaitReady(20_000);
    }
  }

  private static String entry(EngineFarm engines, int engine, String state, int sequence) {
    return Setup.entry(engines.address(engine), state, sequence);
  }

  /** Drains a share of the engines, one after the other in a random order. */
  private void leave(Store store, EngineFarm engines) {
    List<Integer> order = new ArrayList<>();
    for (int engine = 0; engine < ENGINES; engine++) {
      order.add(engine);
    }
    Collections.shuffle(order, new Random());
    try {
      order.removeAll(leftNanos.keySet());
      for (int engine : order.subList(0, (int) (order.size() * LEAVING_SHARE))) {
        store.put("servers", EngineFarm.id(engine), entry(engines, engine, "draining", 2));
        leftNanos.put(engine, System.nanoTime());
        Thread.sleep(LEAVING_GAP_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void onRun(int engine, String id, long nanos) {
    ran.incrementAndGet();
    Long left = leftNanos.get(engine);
    if (left != null && nanos - left > DRAIN_MS * 1_000_000 && nanos > inTouchNanos) {
      lateByEngine.merge(engine, 1, Integer::sum);
      late.add("request " + id + " reached " + EngineFarm.id(engine) + " "
          + (nanos - left) / 1_000_000 + " ms after the store took that it drains");
    }
  }

  /** Sends requests to the boxes in turn, on one connection a box. */
  private void call(int caller) {
    Map<Integer, Socket> connections = new HashMap<>();
    for (int number = 0; sending; number++) {
      int box = number % BOXES;
      int status = 0;
      try {
        Socket socket = connections.get(box);
        if (socket == null) {
          socket = new Socket("127.0.0.1", boxes.get(box).front);
          socket.setTcpNoDelay(true);
          socket.setSoTimeout(3_000);
          connections.put(box, socket);
        }
        String id = "b" + box + "-" + caller + "-" + number;
        OutputStream out = socket.getOutputStream();
        out.write(
            Setup.requestHead("GET", "/again/seat", id, 0, 2_000)
                .getBytes(StandardCharsets.US_ASCII));
        InputStream in = socket.getInputStream();
        Http.Answer answer = Http.readAnswer(in);
        status = answer == null ? 0 : answer.head().status();
      } catch (IOException e) {
        status = 0;
      }
      if (status != 200) {
        close(connections.remove(box));
      }
      synchronized (statuses) {
        statuses.merge(status, 1, Integer::sum);
      }
      pause(status == 200 ? 6 : 100);
    }
    connections.values().forEach(LeavingWhileStarting::close);
  }

  private static void close(Socket socket) {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // nothing is left to do
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
