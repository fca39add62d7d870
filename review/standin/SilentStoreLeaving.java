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
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The open connections to the store go silent, without a reset, while new ones work; meanwhile
 * engines leave that never report "draining": their entries are removed. Rule DRAIN: no request may
 * reach such an engine more than drain_ms after the store has acknowledged that it is gone.
 */
final class SilentStoreLeaving {
  private static final long DRAIN_MS = 2_000;
  private static final long CONTACT_MS = 3_000;
  /** Boxes of a small deployment, and of one in which heartbeats go over relays. */
  private static final int[] SIZES = {6, 14};

  private static final int ENGINES = 60;
  private static final double LEAVING_SHARE = 0.15;
  private static final int[] ROUNDS = {5, 3};
  private static final long BEFORE_LEAVING_MS = 300;
  private static final long SERVE_ON_MS = 6_000;
  private static final long BETWEEN_MS = 2_500;
  private static final int CALLERS = 6;
  private static final long GAP_MS = 150;

  private final Path root;
  private final boolean trouble;
  private final int boxCount;
  private final int rounds;
  private final List<String> record;
  private final Map<Integer, Long> goneNanos = new ConcurrentHashMap<>();
  private final Map<String, Long> sentNanos = new ConcurrentHashMap<>();
  private final List<String> late = Collections.synchronizedList(new ArrayList<>());
  private final AtomicLong latestMs = new AtomicLong();
  private final Map<Integer, Integer> statuses = new TreeMap<>();
  private final AtomicInteger ran = new AtomicInteger();
  private List<Box> boxes = List.of();
  private volatile long inTouchNanos;
  private volatile boolean sending = true;

  private SilentStoreLeaving(
      Path root, int boxCount, int rounds, boolean trouble, List<String> record) {
    this.root = root;
    this.boxCount = boxCount;
    this.rounds = rounds;
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
      SilentStoreLeaving test =
          new SilentStoreLeaving(root, SIZES[size], ROUNDS[size], trouble, record);
      try {
        result = test.run(Work.folder()) ? result : 1;
      } catch (Exception e) {
        record.add("could not run: " + e);
        result = 2;
      } finally {
        test.sending = false;
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
    record.add(boxCount + " boxes, " + ENGINES + " engines");
    Store store = new Store();
    SilencingProxy proxy = new SilencingProxy(store.address());
    EngineFarm engines = new EngineFarm(ENGINES, 20, this::onRun);
    store.put("op", "config", Setup.configuration());
    List<Integer> present = new ArrayList<>();
    for (int engine = 0; engine < ENGINES; engine++) {
      store.put("servers", EngineFarm.id(engine), Setup.entry(engines.address(engine), "ready", 1));
      present.add(engine);
    }
    Collections.shuffle(present, new Random());
    boxes = Box.prepare(root, work, boxCount, proxy.address());
    for (Box box : boxes) {
      box.start();
    }
    for (Box box : boxes) {
      box.awaitReady(30_000);
    }
    inTouchNanos = System.nanoTime() + CONTACT_MS * 1_000_000;
    List<Thread> callers = new ArrayList<>();
    for (int number = 0; number < boxCount * CALLERS; number++) {
      int caller = number;
      callers.add(new Thread(() -> call(caller % boxCount, caller / boxCount)));
    }
    callers.forEach(Thread::start);
    Thread.sleep(5_000);
    for (int round = 0; round < rounds; round++) {
      round(store, proxy, engines, present);
      Thread.sleep(BETWEEN_MS);
    }
    sending = false;
    for (Thread caller : callers) {
      caller.join();
    }
    record.add("answers by status, 0 for none: " + statuses + "; engines ran " + ran);
    record.add(late.size() + " requests reached engines that were gone for over " + DRAIN_MS
        + " ms, by boxes in touch, the last after " + latestMs + " ms");
    late.stream().limit(30).forEach(record::add);
    record.add(late.isEmpty() ? "held" : "broken");
    return late.isEmpty();
  }

  /** A share of the engines leaves; with trouble, just after the store connections went silent. */
  private void round(Store store, SilencingProxy proxy, EngineFarm engines, List<Integer> present)
      throws Exception {
    if (trouble) {
      inTouchNanos = System.nanoTime() + CONTACT_MS * 1_000_000;
      record.add(proxy.silence() + " open connections to the store are silent from now on");
    }
    Thread.sleep(BEFORE_LEAVING_MS);
    List<Integer> leaving = present.subList(0, (int) (present.size() * LEAVING_SHARE));
    for (int engine : leaving) {
      store.remove("servers", EngineFarm.id(engine));
      goneNanos.put(engine, System.nanoTime());
      engines.leave(engine);
    }
    record.add(leaving.size() + " engines removed from the list, acknowledged");
    Thread.sleep(SERVE_ON_MS);
    for (int engine : leaving) {
      engines.end(engine);
    }
    leaving.clear();
  }

  private void onRun(int engine, String id, long nanos) {
    ran.incrementAndGet();
    Long gone = goneNanos.get(engine);
    Long sent = sentNanos.get(id);
    if (gone != null && sent != null && nanos - gone > DRAIN_MS * 1_000_000
        && sent > inTouchNanos) {
      latestMs.accumulateAndGet((nanos - gone) / 1_000_000, Math::max);
      late.add("request " + id + " reached " + EngineFarm.id(engine) + " "
          + (nanos - gone) / 1_000_000 + " ms after the store took that it is gone, sent "
          + (sent - inTouchNanos) / 1_000_000 + " ms after the box is in touch again");
    }
  }

  /** Sends requests to one box on one connection, with pauses. */
  private void call(int box, int caller) {
    Socket socket = null;
    for (int number = 0; sending; number++) {
      int status = 0;
      try {
        if (socket == null) {
          socket = new Socket("127.0.0.1", boxes.get(box).front);
          socket.setTcpNoDelay(true);
          socket.setSoTimeout(3_000);
        }
        String id = "b" + box + "-" + caller + "-" + number;
        OutputStream out = socket.getOutputStream();
        sentNanos.put(id, System.nanoTime());
        out.write(
            Setup.requestHead("GET", "/again/seat", id, 0, 2_000)
                .getBytes(StandardCharsets.US_ASCII));
        Http.Answer answer = Http.readAnswer(socket.getInputStream());
        status = answer == null ? 0 : answer.head().status();
      } catch (IOException e) {
        status = 0;
      }
      if (status != 200) {
        close(socket);
        socket = null;
      }
      synchronized (statuses) {
        statuses.merge(status, 1, Integer::sum);
      }
      pause(GAP_MS);
    }
    close(socket);
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
