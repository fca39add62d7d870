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

  private static final long SHORTEST_RETRY_MILLIS = 300;
  private static final long LONGEST_RETRY_MILLIS = 2_500;
  private static final double SPREAD = 0.5;

  private final RelayServices services;
  private final AdmittedRequest admitted;
  private final RelayRequest request;
  private final RouteDefinition route;
  private final RequestClock clock;
  private final FirstEventTimes firstEvents;
  private final StageTimeline timeline;
  private final UpstreamCandidates candidates;
  private final CallerResponse response;
  private final StringBuilder path = new StringBuilder();
  private long stagesMillis = -1;
  private long firstEventMillis = -1;
  private long comeBackMillis = SHORTEST_RETRY_MILLIS;
  private boolean over;

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
    this.firstEvents = firstEvents;
    this.timeline = timeline;
    this.candidates = candidates;
    this.response = response;
  }

  boolean isOver() {
    return over;
  }

  /** Notes when asking again may help; spread, so that callers do not come back all at once. */
  void comeBackAfter(long millis) {
    double spread = 1 + SPREAD * ThreadLocalRandom.current().nextDouble();
    long later = (long) (Math.min(millis, LONGEST_RETRY_MILLIS) * spread);
    comeBackMillis = Math.max(SHORTEST_RETRY_MILLIS, Math.min(later, LONGEST_RETRY_MILLIS));
  }

  /** Notes when asking again may help of a request that is held back for a long time. */
  void heldBackFor(long millis) {
    comeBackMillis = millis;
  }

  void stagesDone() {
    stagesMillis = clock.elapsedMillis();
  }

  void sent(UpstreamRecord upstream, int number) {
    path.append(number > 1 ? " > " : "").append(upstream.id()).append('@');
    path.append(clock.elapsedMillis());
  }

  void notRun(UpstreamRecord upstream, int status) {
    path.append(" not-run:").append(status);
    problem("attempt-not-run", upstream, "status " + status);
  }

  void failed(UpstreamRecord upstream, CallFailure failure) {
    path.append(' ').append(failure);
    problem("attempt-failed", upstream, failure.name());
  }

  void answered(int status, HttpHeaders headers, ByteBuf body) {
    end("answered-" + status / 100 + "xx", status);
    response.answer(status, headers, body);
  }

  void beginStream(int status, HttpHeaders headers) {
    firstEventMillis = clock.elapsedMillis();
    firstEvents.observe(route.name(), firstEventMillis - Math.max(0, stagesMillis));
    response.beginStream(status, headers);
  }

  void part(ByteBuf events) {
    response.part(events);
  }

  void endStream() {
    end("stream-whole", 200);
    response.endStream();
  }

  void callerGone() {
    end("caller-gone", 0);
  }

  void refuse(Refusal refusal, String why, boolean streaming) {
    if (over) {
      return;
    }
    path.append(" (").append(why).append(')');
    end(refusal.name().toLowerCase(Locale.ROOT), refusal.status());
    if (streaming) {
      response.abort();
    } else {
      response.refuse(refusal, comeBackMillis);
    }
  }

  private void end(String name, int status) {
    over = true;
    services.metrics().ended(route.repeatability(), name, clock.elapsedMillis());
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
        .with("left-ms", clock.leftMillis())
        .with("stages-ms", stagesMillis)
        .with("first-event-ms", firstEventMillis)
        .with("expected-ms", timeline.expectedMillis())
        .with("stages", timeline.toString())
        .with("priority", admitted.priority())
        .with("upstreams", path.toString())
        .with("passed-over", candidates.passedOver())
        .write();
  }

  private void problem(String name, UpstreamRecord upstream, String why) {
    services
        .events()
        .problem(name)
        .with("request", request.id())
        .with("upstream", upstream.id())
        .with("service", upstream.service())
        .with("why", why)
        .with("left-ms", clock.leftMillis())
        .write();
  }
}
