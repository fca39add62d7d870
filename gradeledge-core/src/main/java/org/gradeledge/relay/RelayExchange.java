package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.gradeledge.batch.StageGroupResult;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.discovery.UpstreamRecord;
import org.jspecify.annotations.Nullable;

/**
 * One request from its admission to its final answer: its stage work, its attempts at upstreams,
 * and the rules on what may be sent again. Confined to the event loop.
 */
final class RelayExchange implements AttemptListener {

  private static final int INPUTS_GONE = 409;
  private static final long FULL_PAUSE_MILLIS = 200;

  private final RelayServices services;
  private final RouteDefinition route;
  private final ExchangeParts parts;
  private final ExchangeOutcome outcome;
  private final StagePlan plan;
  private final SendHistory history;
  private final RequestStanding standing;
  private final ExchangeTimers timers;
  private final DispatchTurn turn;
  private final PassedOnStream stream;
  private final Consumer<RelayExchange> onOver;
  private @Nullable Attempt attempt;

  RelayExchange(ExchangeParts parts, Consumer<RelayExchange> onOver) {
    AdmittedRequest admitted = parts.admitted();
    this.services = parts.services();
    this.route = admitted.route();
    this.history = new SendHistory(route);
    this.standing = new RequestStanding(services, admitted);
    this.timers = new ExchangeTimers(services.loop(), parts.clock());
    this.parts = parts;
    this.turn = new DispatchTurn(parts, this::dispatch);
    this.outcome = parts.outcome();
    this.plan = parts.plan();
    this.onOver = onOver;
    this.stream = new PassedOnStream(admitted.request().resumeAfter());
  }

  /** A request that is held back is refused before anything is done for it. */
  void start() {
    timers.start(this::timeUp);
    standing.whetherItMayRun(may -> begin(may));
  }

  private void begin(boolean mayRun) {
    if (outcome.isOver()) {
      return;
    }
    if (!mayRun) {
      holdBack();
      return;
    }
    parts.countRequest();
    if (plan.isEmpty()) {
      dispatch();
    } else if (turn.comesTooLate()) {
      giveUp(Refusal.UPSTREAMS_LIMITED, "before stage work");
    } else {
      plan.start(this::stagesDone, this::stagesFailed);
    }
  }

  /** Looks whether the request is held back by now; what is under way at an upstream goes on. */
  void quarantineChanged() {
    if (attempt == null && !outcome.isOver() && standing.isBarred()) {
      holdBack();
    }
  }

  private void holdBack() {
    outcome.heldBackFor(standing.heldBackMillis());
    giveUp(Refusal.QUARANTINED, "upstreams ended under it");
  }

  /** The caller has gone: whatever is under way for it is given up. */
  void callerGone() {
    if (!outcome.isOver()) {
      outcome.callerGone();
      release();
    }
  }

  private void stagesDone(List<String> results) {
    services.metrics().stagesDone(route.repeatability(), parts.clock().elapsedMillis());
    outcome.stagesDone();
    parts.inputs().made(results);
    parts.candidates().setInputs(plan.bytesByZone());
    dispatch();
  }

  private void stagesFailed(int stage, StageGroupResult result) {
    outcome.comeBackAfter(result.comeBackMillis());
    standing.stagesEnded(result.endedUpstreams());
    finish(Refusal.STAGES_FAILED, "stage " + stage + " " + result.outcome());
  }

  private void dispatch() {
    if (standing.isBarred()) {
      holdBack();
      return;
    }
    turn.take(this::send, refusal -> giveUp(refusal, "all tried or held off"));
  }

  private void send(UpstreamRecord upstream) {
    Attempt next = Attempt.create(services, upstream, parts.admitted(), this);
    attempt = next;
    outcome.sent(upstream, history.sent());
    standing.sent();
    next.started(
        services.caller().call(upstream, parts.outgoing(upstream, stream.lastEventId()), next));
    watch(next);
  }

  private void watch(Attempt watched) {
    if (route.repeatability().repeatable()) {
      timers.watch(
          AttemptWatch.of(services, route, parts.clock(), watched, () -> giveUpSilent(watched)));
    }
  }

  private void giveUpSilent(Attempt watched) {
    if (watched == attempt && history.mayRunAgain()) {
      watched.giveUpSilent();
      failed(watched, CallFailure.BROKEN);
    }
  }

  @Override
  public void sent(Attempt sent) {
    parts.inputs().sent(() -> sent == attempt && !outcome.isOver());
  }

  @Override
  public void notRun(Attempt ended, int status, HttpHeaders headers, AnswerFacts facts) {
    timers.stopWatch();
    outcome.notRun(ended.upstream(), status);
    if (facts.otherUpstream()) {
      services.upstreams().markGone(ended.upstream());
    } else if (status == INPUTS_GONE && parts.inputs().wereGone()) {
      remakeInputs();
      return;
    } else if (status == INPUTS_GONE || status < INPUTS_GONE) {
      finish(Refusal.STAGES_FAILED, "upstream refused with " + status);
      return;
    } else {
      services.board().avoidFor(ended.upstream(), FULL_PAUSE_MILLIS);
    }
    again("not run, status " + status, Refusal.UPSTREAMS_FULL, true);
  }

  private void remakeInputs() {
    parts.candidates().reset();
    if (parts.mayRepeat()) {
      plan.restart();
    } else {
      finish(Refusal.STAGES_FAILED, "inputs gone, retry budget spent");
    }
  }

  @Override
  public void failed(Attempt ended, CallFailure failure) {
    timers.stopWatch();
    outcome.failed(ended.upstream(), failure);
    if (failure.isRequestSent()) {
      boolean mayRun = history.mayRunAgain();
      history.mayHaveRun();
      standing.broken(ended.upstream(), () -> brokenOff(mayRun, failure));
    } else {
      again(failure.name(), Refusal.UPSTREAMS_FULL, false);
    }
  }

  private void brokenOff(boolean mayRunAgain, CallFailure failure) {
    if (outcome.isOver()) {
      return;
    }
    if (mayRunAgain) {
      again(failure.name(), Refusal.BROKEN, true);
    } else {
      giveUp(Refusal.BROKEN, failure.name());
    }
  }

  private void again(String why, Refusal otherwise, boolean counted) {
    if (history.exhausted()) {
      giveUp(otherwise, why);
    } else if (counted && !parts.mayRepeat()) {
      giveUp(otherwise, why + ", retry budget spent");
    } else {
      dispatch();
    }
  }

  @Override
  public void answered(Attempt ended, int status, HttpHeaders headers, ByteBuf body) {
    timers.stopWatch();
    standing.answered();
    if (history.mayReplace(status) && parts.mayRepeat()) {
      body.release();
      history.mayHaveRun();
      outcome.failed(ended.upstream(), CallFailure.BROKEN);
      dispatch();
      return;
    }
    if (stream.hasBegun()) {
      body.release();
      giveUp(Refusal.BROKEN, "status " + status + " in place of the rest of a stream");
    } else {
      release();
      outcome.answered(status, headers, body);
    }
  }

  @Override
  public void events(StreamAttempt source, ByteBuf events) {
    if (stream.begin()) {
      plan.freeAll();
      outcome.beginStream(source.status(), source.headers());
    }
    stream.passedOn(source.lastEventId());
    outcome.part(events);
  }

  @Override
  public void streamEnded(StreamAttempt source) {
    standing.answered();
    release();
    outcome.endStream();
  }

  /** Gives the request up if its time passed while no timer counted it. */
  void wokeUp() {
    timers.wokeUp();
  }

  private void timeUp() {
    if (!outcome.isOver()) {
      finish(attempt == null ? Refusal.LATE_NOT_RUN : Refusal.LATE, "time is up");
    }
  }

  /** The box ends soon: a request that no upstream has got by now is refused, not cut then. */
  void refuseUnsent() {
    if (attempt == null && !outcome.isOver()) {
      finish(Refusal.STOPPING, "not sent before the stop");
    }
  }

  /** Ends the request; where an attempt may have run, that is what the caller is told. */
  private void giveUp(Refusal refusal, String why) {
    turn.noteComeBack(refusal);
    finish(history.maybeRan() && refusal.notRun() ? Refusal.BROKEN : refusal, why);
  }

  private void finish(Refusal refusal, String why) {
    release();
    outcome.refuse(refusal, why, stream.hasBegun());
  }

  private void release() {
    onOver.accept(this);
    turn.leave();
    timers.stopAll();
    Optional.ofNullable(attempt).ifPresent(Attempt::cancel);
    plan.cancel();
  }
}
