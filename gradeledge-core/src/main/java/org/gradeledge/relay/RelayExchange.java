package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gradeledge.batch.StageGroupResult;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.ConnectionReuse;
import org.gradeledge.connection.OutgoingRequest;
import org.gradeledge.deployment.ClientAccount;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.discovery.UpstreamRecord;
import org.jspecify.annotations.Nullable;

/**
 * One request from its admission to its final answer: its stage work, its attempts at upstreams,
 * and the rules on what may be sent again. Confined to the event loop.
 */
final class RelayExchange implements AttemptListener {

  private static final int FIRST_FAILURE = 500;
  private static final int INPUTS_GONE = 409;
  private static final long FULL_PAUSE_MILLIS = 200;

  private final RelayServices services;
  private final RelayRequest request;
  private final RouteDefinition route;
  private final AdmittedRequest admitted;
  private final ExchangeOutcome outcome;
  private final RequestClock clock;
  private final StagePlan plan;
  private final RequestInputs inputs;
  private final UpstreamCandidates candidates;
  private final String service;
  private final SendHistory history;
  private final RequestStanding standing;
  private @Nullable Attempt attempt;
  private @Nullable ScheduledFuture<?> timer;
  private @Nullable AttemptWatch watch;
  private Optional<String> passedOn;
  private boolean streaming;

  RelayExchange(
      RelayServices services,
      AdmittedRequest admitted,
      FirstEventTimes firstEvents,
      InputRelease inputRelease,
      CallerResponse response) {
    this.services = services;
    this.admitted = admitted;
    this.request = admitted.request();
    this.route = admitted.route();
    this.history = new SendHistory(route);
    this.standing = new RequestStanding(services, admitted);
    this.service = admitted.service();
    this.clock = new RequestClock(services.clock(), admitted.limitMillis(), route.targetMillis());
    StageTimeline timeline = new StageTimeline(clock);
    this.outcome = new ExchangeOutcome(services, admitted, clock, firstEvents, timeline, response);
    this.candidates = new UpstreamCandidates(services, service, request);
    this.plan =
        new StagePlan(
            request,
            admitted.deployment(),
            route,
            services.stages(),
            clock,
            admitted.priority(),
            candidates.likelyZone(),
            firstEvents.usualMillis(route.name()),
            timeline);
    this.inputs = new RequestInputs(service, plan, inputRelease);
    this.passedOn = request.resumeAfter();
  }

  void start() {
    timer = services.loop().schedule(this::timeUp, clock.leftMillis(), TimeUnit.MILLISECONDS);
    services.budget().requested(service);
    route.stages().forEach(stage -> services.budget().requested(stage.service()));
    if (plan.isEmpty()) {
      dispatch();
    } else {
      plan.start(this::stagesDone, this::stagesFailed);
    }
  }

  /** The caller has gone: whatever is under way for it is given up. */
  void callerGone() {
    if (outcome.isOver()) {
      return;
    }
    outcome.callerGone();
    release();
  }

  private void stagesDone(List<String> results) {
    services.metrics().stagesDone(route.repeatability(), clock.elapsedMillis());
    outcome.stagesDone();
    inputs.made(results);
    candidates.setInputs(plan.bytesByZone());
    dispatch();
  }

  private void stagesFailed(int stage, StageGroupResult result) {
    outcome.comeBackAfter(result.comeBackMillis());
    finish(Refusal.STAGES_FAILED, "stage " + stage + " " + result.outcome());
  }

  private void dispatch() {
    candidates.next().ifPresentOrElse(this::send, () -> giveUp(candidates.whyNone(), "all tried"));
  }

  private void send(UpstreamRecord upstream) {
    Attempt next = Attempt.create(services, upstream, route, request, this);
    attempt = next;
    AttemptFacts facts =
        new AttemptFacts(
            clock.leftMillis(),
            admitted.account().map(ClientAccount::name),
            admitted.priority(),
            inputs.handles(),
            passedOn);
    ConnectionReuse reuse =
        route.repeatability().repeatable() ? ConnectionReuse.ANY : ConnectionReuse.RECENT;
    OutgoingRequest outgoing = services.protocol().encode(request, upstream, facts, reuse);
    outcome.sent(upstream, history.sent());
    next.started(services.caller().call(upstream, outgoing, next));
    watch(next);
  }

  private void watch(Attempt watched) {
    if (route.repeatability().repeatable()) {
      watch = AttemptWatch.of(services, route, clock, watched, () -> giveUpSilent(watched));
    }
  }

  private void giveUpSilent(Attempt watched) {
    if (watched == attempt && history.mayRunAgain()) {
      watched.cancel();
      services.caller().forget(watched.upstream());
      services.board().failed(watched.upstream(), true, "silent");
      failed(watched, CallFailure.BROKEN);
    }
  }

  @Override
  public void sent(Attempt sent) {
    inputs.sent(() -> sent == attempt && !outcome.isOver());
  }

  @Override
  public void notRun(Attempt ended, int status, HttpHeaders headers, AnswerFacts facts) {
    stopWatch();
    outcome.notRun(ended.upstream(), status);
    if (facts.otherUpstream()) {
      services.upstreams().markGone(ended.upstream());
    } else if (status == INPUTS_GONE && inputs.wereGone()) {
      remakeInputs();
      return;
    } else if (status == INPUTS_GONE || status < INPUTS_GONE) {
      finish(Refusal.STAGES_FAILED, "upstream refused with " + status);
      return;
    } else {
      services.board().pause(ended.upstream(), FULL_PAUSE_MILLIS);
    }
    again("not run, status " + status, Refusal.UPSTREAMS_FULL, true);
  }

  private void remakeInputs() {
    candidates.reset();
    if (services.budget().trySpend(service)) {
      plan.restart();
    } else {
      finish(Refusal.STAGES_FAILED, "inputs gone, retry budget spent");
    }
  }

  @Override
  public void failed(Attempt ended, CallFailure failure) {
    stopWatch();
    outcome.failed(ended.upstream(), failure);
    if (!failure.sent()) {
      again(failure.name(), Refusal.UPSTREAMS_FULL, false);
      return;
    }
    standing.broken(ended.upstream());
    boolean mayRun = history.mayRunAgain();
    history.mayHaveRun();
    if (mayRun) {
      again(failure.name(), Refusal.BROKEN, true);
    } else {
      giveUp(Refusal.BROKEN, failure.name());
    }
  }

  private void again(String why, Refusal otherwise, boolean counted) {
    if (history.exhausted()) {
      giveUp(otherwise, why);
    } else if (counted && !services.budget().trySpend(service)) {
      giveUp(otherwise, why + ", retry budget spent");
    } else {
      dispatch();
    }
  }

  @Override
  public void answered(Attempt ended, int status, HttpHeaders headers, ByteBuf body) {
    stopWatch();
    boolean failure = status >= FIRST_FAILURE;
    boolean mayRunAgain = history.mayRunAgain() && !history.exhausted();
    if (failure && mayRunAgain && services.budget().trySpend(service)) {
      body.release();
      history.mayHaveRun();
      outcome.failed(ended.upstream(), CallFailure.BROKEN);
      dispatch();
      return;
    }
    if (streaming) {
      body.release();
      giveUp(Refusal.BROKEN, "status " + status + " in place of the rest of a stream");
      return;
    }
    release();
    outcome.answered(status, headers, body);
  }

  @Override
  public void events(StreamAttempt source, ByteBuf events) {
    if (!streaming) {
      streaming = true;
      plan.freeAll();
      outcome.beginStream(source.status(), source.headers());
    }
    passedOn = source.lastEventId().or(() -> passedOn);
    outcome.part(events);
  }

  @Override
  public void streamEnded(StreamAttempt source) {
    release();
    outcome.endStream();
  }

  private void timeUp() {
    if (!outcome.isOver()) {
      boolean idle = attempt == null && !history.maybeRan();
      finish(idle ? Refusal.LATE_NOT_RUN : Refusal.LATE, "time is up");
    }
  }

  /** Ends the request; where an attempt may have run, that is what the caller is told. */
  private void giveUp(Refusal refusal, String why) {
    finish(history.maybeRan() && refusal.notRun() ? Refusal.BROKEN : refusal, why);
  }

  private void finish(Refusal refusal, String why) {
    release();
    outcome.refuse(refusal, why, streaming);
  }

  private void release() {
    stopWatch();
    Optional.ofNullable(timer).ifPresent(running -> running.cancel(false));
    Optional.ofNullable(attempt).ifPresent(Attempt::cancel);
    plan.cancel();
  }

  private void stopWatch() {
    Optional.ofNullable(watch).ifPresent(AttemptWatch::stop);
    watch = null;
  }
}
