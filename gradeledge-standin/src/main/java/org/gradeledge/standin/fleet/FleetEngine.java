package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;
import org.gradeledge.standin.StandInHttp;

/**
 * Stand-in of an engine: one thread a connection, so that each byte of a faulty answer can be
 * chosen. It remembers what it ran. Thread-safe.
 */
public final class FleetEngine implements AutoCloseable {

  /** Events of a whole stream. */
  public static final int EVENTS = 6;

  private static final long SLOW_NANOS = 150_000_000;

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
      reset(socket);
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
      Optional<SeenRequest> request = reader.next();
      while (request.isPresent() && answer(request.get(), socket)) {
        request = reader.next();
      }
    } catch (IOException e) {
      // The caller has gone.
    } finally {
      open.remove(socket);
    }
  }

  /** Answers a request; returns whether the connection goes on. */
  private boolean answer(SeenRequest request, Socket socket) throws IOException {
    OutputStream out = socket.getOutputStream();
    limit.requestCame();
    if (fault == EngineFault.FULL) {
      return send(out, AnswerText.whole(request, 503, "X-Not-Run: 1\r\n", ""));
    }
    if (fault == EngineFault.OTHER_ENGINE || !request.header("X-Expect-Instance").equals(id)) {
      return send(out, AnswerText.whole(request, 421, "X-Instance-Id: i-other\r\n", ""));
    }
    if (request.path().equals("/stage-free")) {
      StandInHttp.parse(AnswerText.bytes(request.body()))
          .path("handles")
          .forEach(h -> give(h.asText()));
      return send(out, AnswerText.whole(request, 200, "", "{}"));
    }
    ran.add(request);
    if (fatalBody.filter(request.body()::equals).isPresent()) {
      return crash();
    }
    return switch (fault) {
      case ANSWER_LOST -> reset(socket);
      case HANG -> hang(socket);
      case SLOW -> slowly(request, out);
      case ERROR -> send(out, AnswerText.whole(request, 500, "X-Response-Stamp: s\r\n", "failed"));
      case CUT -> cut(request, socket);
      case CUT_WITHOUT_LENGTH -> cutWithoutLength(request, socket);
      case OTHERS_ANSWER_FIRST ->
          send(out, AnswerText.whole("another-id", 200, "", "not yours") + texts.good(request));
      case EXTRA_ANSWER ->
          send(out, texts.good(request) + AnswerText.whole(request, 200, "", "once more"));
      default -> send(out, texts.good(request));
    };
  }

  private void give(String handle) {
    freed.add(handle);
    if (!handle.startsWith(address() + "/" + start() + "-")) {
      askedOfOthers.add(handle);
    }
  }

  private boolean cut(SeenRequest request, Socket socket) throws IOException {
    send(socket.getOutputStream(), texts.half(request));
    socket.shutdownOutput();
    return false;
  }

  private boolean cutWithoutLength(SeenRequest request, Socket socket) throws IOException {
    send(socket.getOutputStream(), AnswerText.head(request, "") + "half of an ans");
    return reset(socket);
  }

  /** A connection that its caller has closed by now needs no reset. */
  private static boolean reset(Socket socket) throws IOException {
    try (socket) {
      socket.setSoLinger(true, 0);
    } catch (SocketException closed) {
      return false;
    }
    return false;
  }

  private boolean slowly(SeenRequest request, OutputStream out) throws IOException {
    send(out, AnswerText.head(request, EngineTexts.CHUNKED));
    for (int event = 1; event <= EVENTS; event++) {
      LockSupport.parkNanos(SLOW_NANOS);
      send(out, AnswerText.chunk("id: " + event + "\ndata: piece " + event + "\n\n"));
    }
    return send(out, "0\r\n\r\n");
  }

  private static boolean hang(Socket socket) throws IOException {
    return socket.getInputStream().read() >= 0;
  }

  private boolean send(OutputStream out, String text) throws IOException {
    out.write(AnswerText.bytes(limit.addTo(text)));
    out.flush();
    return true;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
