package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.gradeledge.standin.StandInHttp;

/**
 * Stand-in of an engine: one thread a connection, so that each byte of a faulty answer can be
 * chosen. It remembers what it ran. Thread-safe.
 */
public final class FleetEngine implements AutoCloseable {

  /** Events of a whole stream. */
  public static final int EVENTS = 6;

  private final String id;
  private final EngineKind kind;
  private volatile ServerSocket listener;
  private final List<Socket> open = new CopyOnWriteArrayList<>();
  private final List<SeenRequest> ran = new CopyOnWriteArrayList<>();
  private final List<String> freed = new CopyOnWriteArrayList<>();
  private final List<String> askedOfOthers = new CopyOnWriteArrayList<>();
  private final List<Integer> ranBefore = new CopyOnWriteArrayList<>(List.of(0));
  private final EngineTexts texts;
  private final EngineLimit limit = new EngineLimit();
  private final EngineSignals signals = new EngineSignals();
  private volatile long born = System.currentTimeMillis();
  private volatile EngineFault fault = EngineFault.NONE;
  private volatile Optional<String> fatalBody = Optional.empty();
  private volatile boolean down;

  /** Starts an engine on a free port. */
  public FleetEngine(String id, EngineKind kind) {
    this.id = id;
    this.kind = kind;
    this.texts = new EngineTexts(id, kind, () -> address() + "/" + start());
    this.listener = listen();
  }

  private ServerSocket listen() {
    try {
      ServerSocket opened = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
      DaemonThread.start("engine", () -> accept(opened));
      return opened;
    } catch (IOException e) {
      throw new UncheckedIOException("no port is free", e);
    }
  }

  /** Returns its id. */
  public String id() {
    return id;
  }

  /** Returns what it does. */
  public EngineKind kind() {
    return kind;
  }

  /** Returns where it listens. */
  public String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Sets what is wrong from now on. */
  public void setFault(EngineFault next) {
    fault = next;
  }

  /** From now on it crashes when it begins to run a request with a body, and stays down. */
  public void crashOn(String body) {
    fatalBody = Optional.of(body);
  }

  /** Returns whether it has crashed and not been started since. */
  public boolean isDown() {
    return down;
  }

  /** Starts after a crash, under the same id at another port; nothing of before is held. */
  public void startAfterCrash() {
    listener = listen();
    down = false;
    beginNextStart();
  }

  /** Returns the requests that it ran, in order. */
  public List<SeenRequest> ran() {
    return ran;
  }

  /** Returns what it says that it takes, and when requests came. */
  public EngineLimit limit() {
    return limit;
  }

  /** Returns what it says of itself, and which requests came. */
  public EngineSignals signals() {
    return signals;
  }

  /** Returns the number of the start that runs now, from 0. */
  public int start() {
    return ranBefore.size() - 1;
  }

  /** Returns how many requests a start has run. */
  public int ranDuring(int start) {
    int end = start == start() ? ran.size() : ranBefore.get(start + 1);
    return end - ranBefore.get(start);
  }

  /**
   * Crashes and starts again under the same id and address: all connections are reset, and nothing
   * of before is held or known.
   */
  public void startAgain() throws IOException {
    beginNextStart();
    resetAll();
  }

  private void beginNextStart() {
    born = Math.max(born + 1, System.currentTimeMillis());
    ranBefore.add(ran.size());
  }

  /** As a process that ends: nobody listens any more, and all connections are reset. */
  private boolean crash() throws IOException {
    down = true;
    listener.close();
    resetAll();
    return false;
  }

  private void resetAll() throws IOException {
    for (Socket socket : open) {
      EngineConnection.reset(socket);
    }
  }

  /** Returns the results of earlier starts that the one of now was asked about. */
  public List<String> askedOfOthers() {
    return askedOfOthers;
  }

  /** Returns the results that were given up. */
  public List<String> freed() {
    return freed;
  }

  /** Returns the row in which the start of now records itself. */
  public String row(String service, String zone, String state) {
    return String.format(
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,"
            + "\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":%d}",
        service, address(), zone, state, born);
  }

  private void accept(ServerSocket opened) {
    try {
      while (true) {
        Socket socket = opened.accept();
        open.add(socket);
        DaemonThread.start("engine", () -> serve(socket));
      }
    } catch (IOException e) {
      // The engine was closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      RequestReader reader = new RequestReader(socket.getInputStream());
      EngineConnection caller = new EngineConnection(socket, this::withSignals);
      Optional<SeenRequest> request = reader.next();
      while (request.isPresent() && answer(request.get(), caller)) {
        request = reader.next();
      }
    } catch (IOException e) {
      // The caller has gone.
    } finally {
      open.remove(socket);
    }
  }

  /** Answers a request; returns whether the connection goes on. */
  private boolean answer(SeenRequest request, EngineConnection caller) throws IOException {
    limit.requestCame();
    Optional<String> turnedAway = signals.requestCame(request, start());
    if (turnedAway.isPresent()) {
      String refusal = "X-Not-Run: 1\r\nRetry-After: " + turnedAway.get() + "\r\n";
      return caller.send(AnswerText.whole(request, 503, refusal, ""));
    }
    if (fault == EngineFault.FULL) {
      return caller.send(AnswerText.whole(request, 503, "X-Not-Run: 1\r\n", ""));
    }
    if (fault == EngineFault.OTHER_ENGINE || !request.header("X-Expect-Instance").equals(id)) {
      return caller.send(AnswerText.whole(request, 421, "X-Instance-Id: i-other\r\n", ""));
    }
    if (request.path().equals("/stage-free")) {
      StandInHttp.parse(AnswerText.bytes(request.body()))
          .path("handles")
          .forEach(h -> give(h.asText()));
      return caller.send(AnswerText.whole(request, 200, "", "{}"));
    }
    ran.add(request);
    if (fatalBody.filter(request.body()::equals).isPresent()) {
      return crash();
    }
    return switch (fault) {
      case ANSWER_LOST -> caller.reset();
      case HANG -> caller.hang();
      case SLOW -> caller.sendSlowly(request);
      case ERROR ->
          caller.send(AnswerText.whole(request, 500, "X-Response-Stamp: s\r\n", "failed"));
      case CUT -> caller.cut(texts.half(request));
      case CUT_WITHOUT_LENGTH -> caller.cutByReset(AnswerText.head(request, "") + "half of an ans");
      case OTHERS_ANSWER_FIRST ->
          caller.send(AnswerText.whole("another-id", 200, "", "not yours") + texts.good(request));
      case EXTRA_ANSWER ->
          caller.send(texts.good(request) + AnswerText.whole(request, 200, "", "once more"));
      default -> caller.send(texts.good(request));
    };
  }

  private String withSignals(String text) {
    return signals.addTo(limit.addTo(text));
  }

  private void give(String handle) {
    freed.add(handle);
    if (!handle.startsWith(address() + "/" + start() + "-")) {
      askedOfOthers.add(handle);
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
