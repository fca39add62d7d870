package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Stand-in for an engine that sends raw HTTP responses, so that tests can inject malformed ones. It
 * uses one thread per connection and records the executed requests. Thread-safe.
 */
public final class FleetEngine implements AutoCloseable {

  /** Number of events in a complete stream. */
  public static final int EVENTS = 6;

  /** Software version of engines that are created without one. */
  public static final String DEFAULT_VERSION = "v1";

  private final String id;
  private final EngineKind kind;
  private final String softwareVersion;
  private volatile ServerSocket listener;
  private final List<Socket> connections = new CopyOnWriteArrayList<>();
  private final EngineHistory history;
  private final EngineDeviations deviations = new EngineDeviations();
  private final ReleasedHandles releasedHandles = new ReleasedHandles();
  private final FleetEngineResponses responses;
  private final EngineRateLimit rateLimit = new EngineRateLimit();
  private final EngineAnnouncements announcements = new EngineAnnouncements();
  private final EngineSilence silence = new EngineSilence();
  private volatile EngineFault fault = EngineFault.NONE;
  private final EngineCrashTriggers crashTriggers = new EngineCrashTriggers();
  private volatile boolean down;

  /** Starts an engine of the default software version on a free port. */
  public FleetEngine(String id, EngineKind kind) {
    this(id, kind, DEFAULT_VERSION);
  }

  /**
   * Starts an engine on a free port. Its events name its software version, which it never checks.
   */
  public FleetEngine(String id, EngineKind kind, String softwareVersion) {
    this.id = id;
    this.kind = kind;
    this.softwareVersion = softwareVersion;
    this.history = new EngineHistory(id);
    this.responses =
        new FleetEngineResponses(
            id, kind, softwareVersion, history, deviations, () -> address() + "/" + incarnation());
    this.listener = listen();
  }

  private ServerSocket listen() {
    try {
      ServerSocket serverSocket = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
      DaemonThread.start("engine", () -> accept(serverSocket));
      return serverSocket;
    } catch (IOException e) {
      throw new UncheckedIOException("could not open a listener", e);
    }
  }

  /** Returns the id of the engine. */
  public String id() {
    return id;
  }

  /** Returns the kind of the engine. */
  public EngineKind kind() {
    return kind;
  }

  /** Returns the software version of the engine. */
  public String softwareVersion() {
    return softwareVersion;
  }

  /** Returns the address of the engine. */
  public String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Sets the fault for all further requests. */
  public void setFault(EngineFault newFault) {
    fault = newFault;
  }

  /** Returns the requests that crash the engine, which does not restart by itself. */
  public EngineCrashTriggers crashTriggers() {
    return crashTriggers;
  }

  /** Returns whether the engine has crashed and has not been restarted. */
  public boolean isDown() {
    return down;
  }

  /** Restarts a crashed engine as a new incarnation on another port. */
  public void restartAfterCrash() {
    listener = listen();
    down = false;
    history.beginIncarnation();
  }

  /** Returns the executed requests in order. */
  public List<ReceivedRequest> executedRequests() {
    return history.executedRequests();
  }

  /** Returns the runs and their answers; a run is recorded before its answer is sent. */
  public List<EngineRun> runs() {
    return history.runs();
  }

  /** Returns the deviations of the answers of the engine. */
  public EngineDeviations deviations() {
    return deviations;
  }

  /** Returns the announced rate limit and the request times. */
  public EngineRateLimit rateLimit() {
    return rateLimit;
  }

  /** Returns the announcements of the engine and the received requests. */
  public EngineAnnouncements announcements() {
    return announcements;
  }

  /** Returns how the engine falls silent. */
  public EngineSilence silence() {
    return silence;
  }

  /** Makes all open connections carry nothing any more without resetting them. */
  public void severConnections() {
    silence.sever(connections);
  }

  /** Returns the number of the current incarnation, from 0. */
  public int incarnation() {
    return history.incarnation();
  }

  /** Returns the number of requests that an incarnation executed. */
  public int executedDuring(int incarnation) {
    return history.executedDuring(incarnation);
  }

  /** Crashes and restarts as a new incarnation on the same port; resets all connections. */
  public void restart() throws IOException {
    history.beginIncarnation();
    resetAll();
  }

  /** Closes the listener and resets all connections, as the crash of a process does. */
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

  /** Returns the released handles that do not belong to the current incarnation. */
  public List<String> staleHandles() {
    return releasedHandles.stale();
  }

  /** Returns the handles that callers released. */
  public List<String> releasedHandles() {
    return releasedHandles.all();
  }

  /** Returns the store row of the current incarnation. */
  public String row(String service, String zone, String state) {
    return String.format(
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\",\"slots\":8,"
            + "\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":%d}",
        service, address(), zone, softwareVersion, state, history.startedAtMillis());
  }

  private void accept(ServerSocket serverSocket) {
    try {
      while (true) {
        Socket socket = serverSocket.accept();
        connections.add(socket);
        DaemonThread.start("engine", () -> serve(socket));
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      RequestReader reader = new RequestReader(socket.getInputStream());
      EngineConnection caller = new EngineConnection(socket, this::addAnnouncements, silence);
      Optional<ReceivedRequest> request = reader.readRequest();
      while (request.isPresent() && handleExclusively(request.get(), caller)) {
        request = reader.readRequest();
      }
    } catch (IOException e) {
      // The connection was closed.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      connections.remove(socket);
    }
  }

  /** Keeps late parts of earlier answers out of the answer to a request. */
  private boolean handleExclusively(ReceivedRequest request, EngineConnection caller)
      throws IOException, InterruptedException {
    synchronized (caller) {
      return handleRequest(request, caller);
    }
  }

  /** Responds to a request; returns whether the connection stays open. */
  private boolean handleRequest(ReceivedRequest request, EngineConnection caller)
      throws IOException, InterruptedException {
    if (request.path().equals("/report")) {
      return caller.send(RawHttpResponse.withBody(request, 200, "", silence.report()));
    }
    rateLimit.recordRequest();
    Optional<String> backoffSeconds = announcements.recordRequest(request, incarnation());
    if (backoffSeconds.isPresent()) {
      String rejectionHeaders = "X-Not-Run: 1\r\nRetry-After: " + backoffSeconds.get() + "\r\n";
      return caller.send(RawHttpResponse.withBody(request, 503, rejectionHeaders, ""));
    }
    if (fault == EngineFault.FULL) {
      return caller.send(RawHttpResponse.withBody(request, 503, "X-Not-Run: 1\r\n", ""));
    }
    if (fault == EngineFault.OTHER_ENGINE || !request.header("X-Expect-Instance").equals(id)) {
      return caller.send(RawHttpResponse.withBody(request, 421, "X-Instance-Id: i-other\r\n", ""));
    }
    if (request.path().equals("/stage-free")) {
      releasedHandles.record(request, address() + "/" + incarnation() + "-");
      return caller.send(RawHttpResponse.withBody(request, 200, "", "{}"));
    }
    history.executedRequests().add(request);
    if (crashTriggers.matchesBody(request)) {
      responses.recordUnanswered(request);
      return crash();
    }
    if (crashTriggers.matchesPart(request)) {
      responses.sendHead(request, caller);
      return crash();
    }
    return responses.send(fault, request, caller);
  }

  private String addAnnouncements(String text) {
    return announcements.addHeader(rateLimit.addHeader(text));
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : connections) {
      socket.close();
    }
  }
}
