package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Optional;

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
  private final EngineListener listener = new EngineListener(this::serve);
  private final EngineHistory history;
  private final EngineDeviations deviations;
  private final ReleasedHandles releasedHandles = new ReleasedHandles();
  private final FleetEngineResponses responses;
  private final EngineRateLimit rateLimit = new EngineRateLimit();
  private final EngineAnnouncements announcements;
  private final EngineSilence silence = new EngineSilence();
  private volatile EngineFault fault = EngineFault.NONE;
  private final EngineCrashTriggers crashTriggers = new EngineCrashTriggers();
  private volatile boolean down;
  private volatile boolean requestIdRequired;

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
    this.announcements = new EngineAnnouncements(this::resetDeviatingConnections);
    this.deviations = new EngineDeviations(announcements::isActive);
    this.responses =
        new FleetEngineResponses(
            id, kind, softwareVersion, history, deviations, () -> address() + "/" + incarnation());
    listener.open();
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
    return listener.address();
  }

  /** Sets the fault for all further requests. */
  public void setFault(EngineFault newFault) {
    fault = newFault;
  }

  /** Rejects all further requests without a request id, which the engine does not run. */
  public void requireRequestId() {
    requestIdRequired = true;
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
    listener.open();
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

  /** Returns the requests whose bodies were read after their answers were sent. */
  public List<ReceivedRequest> readAfterAnswer() {
    return history.readAfterAnswer();
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
    silence.sever(listener.connections());
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
    listener.resetAll();
  }

  private boolean crash() throws IOException {
    down = true;
    listener.crash();
    return false;
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

  private void serve(Socket socket) {
    EngineConnection caller = new EngineConnection(socket, this::addAnnouncements, silence);
    try (socket) {
      RequestReader reader = new RequestReader(socket.getInputStream());
      Optional<ReceivedRequest> head = reader.readHead();
      while (head.isPresent() && handleExclusively(head.get(), reader, caller)) {
        head = reader.readHead();
      }
    } catch (IOException e) {
      // The connection was closed.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      deviations.forget(caller);
    }
  }

  /** Keeps late parts of earlier answers out of the answer to a request. */
  private boolean handleExclusively(
      ReceivedRequest head, RequestReader reader, EngineConnection caller)
      throws IOException, InterruptedException {
    synchronized (caller) {
      if (kind == EngineKind.STAGE || !deviations.answerBeforeBody()) {
        return handleRequest(reader.readBody(head), caller);
      }
      boolean open = handleRequest(head, caller);
      history.recordReadAfterAnswer(reader.readBody(head));
      return open;
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
    if (requestIdRequired && request.header("X-Request-Id").isEmpty()) {
      return caller.send(RawHttpResponse.withBody(request, 400, "X-Not-Run: 1\r\n", ""));
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

  private void resetDeviatingConnections() {
    deviations.resetAffectedConnections();
  }

  private String addAnnouncements(String text) {
    return announcements.addHeader(rateLimit.addHeader(text));
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
