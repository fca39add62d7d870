package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLog;

/** The answer of one request, and the lines and counts that tell how it came about. */
final class ExchangeOutcome {

  private static final long MIN_RETRY_AFTER_MILLIS = 300;
  private static final long MAX_RETRY_AFTER_MILLIS = 2_500;
  private static final double RETRY_JITTER = 0.5;

  private final RelayServices services;
  private final AdmittedRequest admitted;
  private final RelayRequest request;
  private final RouteDefinition route;
  private final RequestClock clock;
  private final FirstEventTimes firstEventTimes;
  private final StageTimeline timeline;
  private final UpstreamCandidates candidates;
  private final CallerResponse response;
  private final StringBuilder attemptTrace = new StringBuilder();
  private long stagesMillis = -1;
  private long firstEventMillis = -1;
  private long retryAfterMillis = MIN_RETRY_AFTER_MILLIS;
  private boolean finished;

  ExchangeOutcome(
      RelayServices services,
      AdmittedRequest admitted,
      RequestClock clock,
      FirstEventTimes firstEvents,
      StageTimeline timeline,
      UpstreamCandidates candidates,
      CallerResponse response) {
    this.services = services;
    this.admitted = admitted;
    this.request = admitted.request();
    this.route = admitted.route();
    this.clock = clock;
    this.firstEventTimes = firstEvents;
    this.timeline = timeline;
    this.candidates = candidates;
    this.response = response;
  }

  boolean isFinished() {
    return finished;
  }

  /** Notes when asking again may help; spread, so that callers do not come back all at once. */
  void setJitteredRetryAfter(long millis) {
    double spread = 1 + RETRY_JITTER * ThreadLocalRandom.current().nextDouble();
    long later = (long) (Math.min(millis, MAX_RETRY_AFTER_MILLIS) * spread);
    retryAfterMillis = Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(later, MAX_RETRY_AFTER_MILLIS));
  }

  /** Notes when asking again may help of a request that is held back for a long time. */
  void setRetryAfter(long millis) {
    retryAfterMillis = millis;
  }

  void stagesCompleted() {
    stagesMillis = clock.elapsedMillis();
  }

  void attemptSent(UpstreamRecord upstream, int number) {
    attemptTrace.append(number > 1 ? " > " : "").append(upstream.id()).append('@');
    attemptTrace.append(clock.elapsedMillis());
  }

  void attemptNotRun(UpstreamRecord upstream, int status) {
    attemptTrace.append(" not-run:").append(status);
    logProblem("attempt-not-run", upstream, "status " + status);
  }

  void attemptFailed(UpstreamRecord upstream, CallFailure failure) {
    attemptTrace.append(' ').append(failure);
    logProblem("attempt-failed", upstream, failure.name());
  }

  void answered(int status, HttpHeaders headers, ByteBuf body) {
    finish("answered-" + status / 100 + "xx", status);
    response.answer(status, headers, body);
  }

  void beginStream(int status, HttpHeaders headers) {
    firstEventMillis = clock.elapsedMillis();
    firstEventTimes.observe(route.name(), firstEventMillis - Math.max(0, stagesMillis));
    response.beginStream(status, headers);
  }

  void sendEvents(ByteBuf events) {
    response.sendEvents(events);
  }

  void endStream() {
    finish("stream-whole", 200);
    response.endStream();
  }

  void callerDisconnected() {
    finish("caller-gone", 0);
  }

  void refuse(Refusal refusal, String why, boolean streaming) {
    if (finished) {
      return;
    }
    attemptTrace.append(" (").append(why).append(')');
    finish(refusal.name().toLowerCase(Locale.ROOT), refusal.status());
    if (streaming) {
      response.abort();
    } else {
      response.refuse(refusal, retryAfterMillis);
    }
  }

  private void finish(String name, int status) {
    finished = true;
    services.metrics().requestEnded(route.repeatability(), name, clock.elapsedMillis());
    boolean well = status >= 200 && status < 300;
    EventLog.Event event =
        well ? services.events().step("request-ended") : services.events().problem("request-ended");
    event
        .with("request", request.id())
        .with("route", route.name())
        .with("revision", admitted.deployment().revision())
        .with("outcome", name)
        .with("status", status)
        .with("ms", clock.elapsedMillis())
        .with("left-ms", clock.remainingMillis())
        .with("stages-ms", stagesMillis)
        .with("first-event-ms", firstEventMillis)
        .with("expected-ms", timeline.expectedMillis())
        .with("stages", timeline.toString())
        .with("priority", admitted.priority())
        .with("upstreams", attemptTrace.toString())
        .with("passed-over", candidates.skippedIds())
        .write();
  }

  private void logProblem(String name, UpstreamRecord upstream, String why) {
    services
        .events()
        .problem(name)
        .with("request", request.id())
        .with("upstream", upstream.id())
        .with("service", upstream.service())
        .with("why", why)
        .with("left-ms", clock.remainingMillis())
        .write();
  }
}
