package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.gradeledge.connection.ConnectionUse;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLog;

/** Sends the answer of one request and writes its log line and metrics. */
final class ExchangeOutcome {

  private static final long MIN_RETRY_AFTER_MILLIS = 300;
  private static final long MAX_RETRY_AFTER_MILLIS = 2_500;
  private static final double RETRY_JITTER = 0.5;
  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECT = 300;
  private static final String UNKNOWN_VERSION = "unknown";
  private static final String PAST_TARGET = "-past-target";

  private final RelayServices services;
  private final AdmittedRequest admitted;
  private final RelayRequest request;
  private final RouteDefinition route;
  private final RequestClock clock;
  private final RouteTimes routeTimes;
  private final StageTimeline timeline;
  private final UpstreamCandidates candidates;
  private final CallerResponse response;
  private final StringBuilder attemptTrace = new StringBuilder();
  private final Set<String> softwareVersions = new LinkedHashSet<>();
  private long stagesMillis = -1;
  private long firstEventMillis = -1;
  private long sentBytes;
  private long droppedBytes;
  private long retryAfterMillis = MIN_RETRY_AFTER_MILLIS;
  private String refusedAt = "";
  private String explanationSubject = "";
  private boolean finished;

  ExchangeOutcome(
      RelayServices services,
      AdmittedRequest admitted,
      RequestClock clock,
      RouteTimes routeTimes,
      StageTimeline timeline,
      UpstreamCandidates candidates,
      CallerResponse response) {
    this.services = services;
    this.admitted = admitted;
    this.request = admitted.request();
    this.route = admitted.route();
    this.clock = clock;
    this.routeTimes = routeTimes;
    this.timeline = timeline;
    this.candidates = candidates;
    this.response = response;
  }

  boolean isFinished() {
    return finished;
  }

  /**
   * Sets the retry delay of a refusal, with random jitter so that callers do not retry at the same
   * time.
   */
  void setJitteredRetryAfter(long millis) {
    double jitter = 1 + RETRY_JITTER * ThreadLocalRandom.current().nextDouble();
    long jittered = (long) (Math.min(millis, MAX_RETRY_AFTER_MILLIS) * jitter);
    retryAfterMillis = Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(jittered, MAX_RETRY_AFTER_MILLIS));
  }

  /** Sets the retry delay of a refusal without bounds and jitter. */
  void setRetryAfter(long millis) {
    retryAfterMillis = millis;
  }

  /** Sets what the explanation of a refusal names. */
  void setExplanationSubject(String subject) {
    explanationSubject = subject;
  }

  void stagesCompleted() {
    stagesMillis = clock.elapsedMillis();
  }

  void attemptSent(UpstreamRecord upstream, int attemptNumber) {
    attemptTrace.append(attemptNumber > 1 ? " > " : "").append(upstream.id()).append('@');
    attemptTrace.append(clock.elapsedMillis());
    softwareVersions.add(upstream.softwareVersion().orElse(UNKNOWN_VERSION));
  }

  void attemptNotRun(Attempt attempt, int status) {
    trace(attempt).append(" not-run:").append(status);
    logProblem("attempt-not-run", attempt, "status " + status);
  }

  /** Records an attempt that ended without a usable answer of the upstream. */
  void attemptFailed(Attempt attempt, String reason) {
    trace(attempt).append(' ').append(reason);
    logProblem("attempt-failed", attempt, reason);
  }

  /** Records what is known of a silent attempt, and whether and why it goes on. */
  void attemptSilent(Attempt attempt, String decision) {
    logProblem("attempt-silent", attempt, decision);
  }

  /** Records an attempt that this box gave up although its connection was open. */
  void attemptAbandoned(Attempt attempt, String reason) {
    trace(attempt).append(" abandoned:").append(reason);
    logProblem("attempt-abandoned", attempt, reason);
  }

  /** Appends the connection of an attempt to the trace, to which its result is then added. */
  private StringBuilder trace(Attempt attempt) {
    String connection = label(attempt);
    return attemptTrace.append(connection.isEmpty() ? "" : " #").append(connection);
  }

  private static String label(Attempt attempt) {
    return attempt.connection().map(ConnectionUse::label).orElse("");
  }

  void answered(Attempt attempt, int status, HttpHeaders headers, ByteBuf body) {
    trace(attempt).append(" status-").append(status);
    if (status >= FIRST_SUCCESS && status < FIRST_REDIRECT) {
      observeFirstEvent(clock.elapsedMillis());
    }
    finish("answered-" + status / 100 + "xx", status, AnswerEnd.COMPLETE);
    response.answer(status, headers, body);
  }

  void beginStream(Attempt attempt, int status, HttpHeaders headers) {
    trace(attempt).append(" status-").append(status);
    firstEventMillis = clock.elapsedMillis();
    observeFirstEvent(firstEventMillis);
    response.beginStream(status, headers);
  }

  private void observeFirstEvent(long elapsedMillis) {
    routeTimes.observeFirstEvent(route.name(), elapsedMillis - Math.max(0, stagesMillis));
  }

  void sendEvents(ByteBuf events) {
    int bytes = events.readableBytes();
    if (response.sendEvents(events)) {
      sentBytes += bytes;
    } else {
      droppedBytes += bytes;
    }
  }

  void endStream() {
    finish("stream-whole", 200, AnswerEnd.COMPLETE);
    response.endStream();
  }

  void callerDisconnected() {
    finish("caller-gone", 0, AnswerEnd.CALLER_LEFT);
  }

  /** Refuses a request that was sent, as the process ends; records it if its stream has begun. */
  void processEnds(boolean streaming) {
    if (!finished && streaming) {
      finish("process-ended", 0, AnswerEnd.PROCESS_ENDED);
    } else {
      refuse(Refusal.BROKEN, "process ends", streaming);
    }
  }

  void refuse(Refusal refusal, String reason, boolean streaming) {
    if (finished) {
      return;
    }
    attemptTrace.append(" (").append(reason);
    attemptTrace.append(explanationSubject.isEmpty() ? ")" : ": " + explanationSubject + ")");
    AnswerEnd end = streaming ? AnswerEnd.CUT : AnswerEnd.REFUSED;
    if (refusal == Refusal.STAGES_FAILED) {
      refusedAt = timeline.refusalPoint().map(RefusalPoint::label).orElse("");
    }
    finish(refusal.name().toLowerCase(Locale.ROOT), refusal.status(), end);
    if (streaming) {
      response.abort();
    } else {
      response.refuse(refusal, retryAfterMillis, explanationSubject);
    }
  }

  private void finish(String outcome, int status, AnswerEnd end) {
    finished = true;
    if (end == AnswerEnd.COMPLETE) {
      routeTimes.observeWhole(route.name(), clock.elapsedMillis());
    }
    services.metrics().requestEnded(route.repeatability(), outcome, clock.elapsedMillis());
    services.metrics().answerEnded(end);
    services.metrics().routeResult(route.name(), result(outcome));
    boolean successful = status >= 200 && status < 300 && droppedBytes == 0;
    EventLog.Event event =
        successful
            ? services.events().step("request-ended")
            : services.events().problem("request-ended");
    event
        .with("request", request.id())
        .with("route", route.name())
        .with("revision", admitted.deployment().revision())
        .with("outcome", outcome)
        .with("refused-at", refusedAt)
        .with("status", status)
        .with("end", end.label())
        .with("sent-bytes", sentBytes)
        .with("dropped-bytes", droppedBytes)
        .with("ms", clock.elapsedMillis())
        .with("left-ms", clock.remainingMillis())
        .with("stages-ms", stagesMillis)
        .with("first-event-ms", firstEventMillis)
        .with("expected-ms", timeline.expectedMillis())
        .with("stages", timeline.toString())
        .with("priority", admitted.priority())
        .with("upstreams", attemptTrace.toString())
        .with("versions", String.join(",", softwareVersions))
        .with("resumes", request.resumedRequestId().orElse(""))
        .with("last-event", request.lastEventId().orElse(""))
        .with("passed-over", candidates.skippedIds())
        .write();
  }

  /** Returns the result of the request in the metrics of its route. */
  private String result(String outcome) {
    if (!refusedAt.isEmpty()) {
      return refusedAt;
    }
    return firstEventMillis > route.targetLatencyMillis() ? outcome + PAST_TARGET : outcome;
  }

  private void logProblem(String name, Attempt attempt, String reason) {
    services
        .events()
        .problem(name)
        .with("request", request.id())
        .with("upstream", attempt.upstream().id())
        .with("service", attempt.upstream().service())
        .with("connection", label(attempt))
        .with("why", reason)
        .with("left-ms", clock.remainingMillis())
        .write();
  }
}
