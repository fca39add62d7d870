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
  private final List<Socket> connections = new CopyOnWriteArrayList<>();
  private final List<ReceivedRequest> executedRequests = new CopyOnWriteArrayList<>();
  private final List<String> releasedHandles = new CopyOnWriteArrayList<>();
  private final List<String> staleHandles = new CopyOnWriteArrayList<>();
  private final List<Integer> executedBefore = new CopyOnWriteArrayList<>(List.of(0));
  private final FleetEngineResponses responses;
  private final EngineRateLimit rateLimit = new EngineRateLimit();
  private final EngineAnnouncements announcements = new EngineAnnouncements();
  private volatile long startedAtMillis = System.currentTimeMillis();
  private volatile EngineFault fault = EngineFault.NONE;
  private volatile Optional<String> crashBody = Optional.empty();
  private volatile boolean down;

  /** Starts an engine on a free port. */
  public FleetEngine(String id, EngineKind kind) {
    this.id = id;
    this.kind = kind;
    this.responses = new FleetEngineResponses(id, kind, () -> address() + "/" + incarnation());
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
    crashBody = Optional.of(body);
  }

  /** Returns whether it has crashed and not been started since. */
  public boolean isDown() {
    return down;
  }

  /** Starts after a crash, under the same id at another port; nothing of before is held. */
  public void restartAfterCrash() {
    listener = listen();
    down = false;
    beginIncarnation();
  }

  /** Returns the requests that it ran, in order. */
  public List<ReceivedRequest> executedRequests() {
    return executedRequests;
  }

  /** Returns what it says that it takes, and when requests came. */
  public EngineRateLimit rateLimit() {
    return rateLimit;
  }

  /** Returns what it says of itself, and which requests came. */
  public EngineAnnouncements announcements() {
    return announcements;
  }

  /** Returns the number of the start that runs now, from 0. */
  public int incarnation() {
    return executedBefore.size() - 1;
  }

  /** Returns how many requests a start has run. */
  public int executedDuring(int start) {
    int end = start == incarnation() ? executedRequests.size() : executedBefore.get(start + 1);
    return end - executedBefore.get(start);
  }

  /**
   * Crashes and starts again under the same id and address: all connections are reset, and nothing
   * of before is held or known.
   */
  public void restart() throws IOException {
    beginIncarnation();
    resetAll();
  }

  private void beginIncarnation() {
    startedAtMillis = Math.max(startedAtMillis + 1, System.currentTimeMillis());
    executedBefore.add(executedRequests.size());
  }

  /** As a process that ends: nobody listens any more, and all connections are reset. */
  private boolean crash() throws IOException {
    down = true;
    listener.close();
    resetAll();
    return false;
  }

  private void resetAll() throws IOException {
    for (Socket socket : connections) {
      EngineConnection.reset(socket);
    }
  }

  /** Returns the results of earlier starts that the one of now was asked about. */
  public List<String> staleHandles() {
    return staleHandles;
  }

  /** Returns the results that were given up. */
  public List<String> releasedHandles() {
    return releasedHandles;
  }

  /** Returns the row in which the start of now records itself. */
  public String row(String service, String zone, String state) {
    return String.format(
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,"
            + "\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":%d}",
        service, address(), zone, state, startedAtMillis);
  }

  private void accept(ServerSocket opened) {
    try {
      while (true) {
        Socket socket = opened.accept();
        connections.add(socket);
        DaemonThread.start("engine", () -> serve(socket));
      }
    } catch (IOException e) {
      // The engine was closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      RequestReader reader = new RequestReader(socket.getInputStream());
      EngineConnection caller = new EngineConnection(socket, this::addAnnouncements);
      Optional<ReceivedRequest> request = reader.readRequest();
      while (request.isPresent() && handleRequest(request.get(), caller)) {
        request = reader.readRequest();
      }
    } catch (IOException e) {
      // The caller has gone.
    } finally {
      connections.remove(socket);
    }
  }

  /** Answers a request; returns whether the connection goes on. */
  private boolean handleRequest(ReceivedRequest request, EngineConnection caller)
      throws IOException {
    rateLimit.recordRequest();
    Optional<String> turnedAway = announcements.recordRequest(request, incarnation());
    if (turnedAway.isPresent()) {
      String refusal = "X-Not-Run: 1\r\nRetry-After: " + turnedAway.get() + "\r\n";
      return caller.send(RawHttpResponse.withBody(request, 503, refusal, ""));
    }
    if (fault == EngineFault.FULL) {
      return caller.send(RawHttpResponse.withBody(request, 503, "X-Not-Run: 1\r\n", ""));
    }
    if (fault == EngineFault.OTHER_ENGINE || !request.header("X-Expect-Instance").equals(id)) {
      return caller.send(RawHttpResponse.withBody(request, 421, "X-Instance-Id: i-other\r\n", ""));
    }
    if (request.path().equals("/stage-free")) {
      StandInHttp.parseJson(RawHttpResponse.bytes(request.body()))
          .path("handles")
          .forEach(h -> recordRelease(h.asText()));
      return caller.send(RawHttpResponse.withBody(request, 200, "", "{}"));
    }
    executedRequests.add(request);
    if (crashBody.filter(request.body()::equals).isPresent()) {
      return crash();
    }
    return switch (fault) {
      case ANSWER_LOST -> caller.reset();
      case HANG -> caller.hang();
      case SLOW -> caller.sendSlowly(request);
      case ERROR ->
          caller.send(RawHttpResponse.withBody(request, 500, "X-Response-Stamp: s\r\n", "failed"));
      case CUT -> caller.sendAndClose(responses.truncated(request));
      case CUT_WITHOUT_LENGTH ->
          caller.sendAndReset(RawHttpResponse.eventStreamHead(request, "") + "half of an ans");
      case OTHERS_ANSWER_FIRST ->
          caller.send(
              RawHttpResponse.withBody("another-id", 200, "", "not yours")
                  + responses.complete(request));
      case EXTRA_ANSWER ->
          caller.send(
              responses.complete(request)
                  + RawHttpResponse.withBody(request, 200, "", "once more"));
      default -> caller.send(responses.complete(request));
    };
  }

  private String addAnnouncements(String text) {
    return announcements.addHeader(rateLimit.addHeader(text));
  }

  private void recordRelease(String handle) {
    releasedHandles.add(handle);
    if (!handle.startsWith(address() + "/" + incarnation() + "-")) {
      staleHandles.add(handle);
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : connections) {
      socket.close();
    }
  }
}
