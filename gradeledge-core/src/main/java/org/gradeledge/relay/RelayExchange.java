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

  private static final int INPUTS_GONE_STATUS = 409;
  private static final long REJECTION_PAUSE_MILLIS = 200;

  private final RelayServices services;
  private final RouteDefinition route;
  private final ExchangeContext context;
  private final ExchangeOutcome outcome;
  private final StagePlan stagePlan;
  private final AttemptHistory history;
  private final RequestQuarantine quarantine;
  private final ExchangeTimers timers;
  private final RequestDispatcher dispatcher;
  private final ForwardedStream stream;
  private final Consumer<RelayExchange> onFinished;
  private @Nullable Attempt attempt;

  RelayExchange(ExchangeContext parts, Consumer<RelayExchange> onOver) {
    AdmittedRequest admitted = parts.admitted();
    this.services = parts.services();
    this.route = admitted.route();
    this.history = new AttemptHistory(route);
    this.quarantine = new RequestQuarantine(services, admitted);
    this.timers = new ExchangeTimers(services.eventLoop(), parts.clock());
    this.context = parts;
    this.dispatcher = new RequestDispatcher(parts, this::dispatch);
    this.outcome = parts.outcome();
    this.stagePlan = parts.stagePlan();
    this.onFinished = onOver;
    this.stream = new ForwardedStream(admitted.request().lastEventId());
  }

  /** A request that is held back is refused before anything is done for it. */
  void start() {
    timers.start(this::onTimeout);
    quarantine.checkMayRun(may -> proceed(may));
  }

  private void proceed(boolean mayRun) {
    if (outcome.isFinished()) {
      return;
    }
    if (!mayRun) {
      rejectQuarantined();
      return;
    }
    context.countRequest();
    if (stagePlan.isEmpty()) {
      dispatch();
    } else if (dispatcher.enqueueAndCheckLate()) {
      fail(Refusal.UPSTREAMS_LIMITED, "before stage work");
    } else {
      stagePlan.start(this::stagesCompleted, this::stagesFailed);
    }
  }

  /** Looks whether the request is held back by now; what is under way at an upstream goes on. */
  void rejectIfQuarantined() {
    if (attempt == null && !outcome.isFinished() && quarantine.isQuarantined()) {
      rejectQuarantined();
    }
  }

  private void rejectQuarantined() {
    outcome.setRetryAfter(quarantine.remainingMillis());
    fail(Refusal.QUARANTINED, "upstreams ended under it");
  }

  /** The caller has gone: whatever is under way for it is given up. */
  void callerDisconnected() {
    if (!outcome.isFinished()) {
      outcome.callerDisconnected();
      release();
    }
  }

  private void stagesCompleted(List<String> results) {
    services.metrics().stagesCompleted(route.repeatability(), context.clock().elapsedMillis());
    outcome.stagesCompleted();
    context.inputs().setHandles(results);
    context.candidates().setInputBytes(stagePlan.bytesByZone());
    dispatch();
  }

  private void stagesFailed(int stage, StageGroupResult result) {
    outcome.setJitteredRetryAfter(result.comeBackMillis());
    quarantine.recordStageCrashes(result.endedUpstreams());
    finish(Refusal.STAGES_FAILED, "stage " + stage + " " + result.outcome());
  }

  private void dispatch() {
    if (quarantine.isQuarantined()) {
      rejectQuarantined();
      return;
    }
    dispatcher.chooseUpstream(this::send, refusal -> fail(refusal, "all tried or held off"));
  }

  private void send(UpstreamRecord upstream) {
    Attempt next = Attempt.create(services, upstream, context.admitted(), this);
    attempt = next;
    outcome.attemptSent(upstream, history.recordSent());
    quarantine.recordSent();
    next.setCall(
        services
            .upstreamCaller()
            .call(upstream, context.outgoingRequest(upstream, stream.lastEventId()), next));
    startWatchdog(next);
  }

  private void startWatchdog(Attempt watched) {
    if (route.repeatability().repeatable()) {
      timers.setWatchdog(
          AttemptWatchdog.forAttempt(
              services, route, context.clock(), watched, () -> abandonIfSilent(watched)));
    }
  }

  private void abandonIfSilent(Attempt watched) {
    if (watched == attempt && history.mayRunAgain()) {
      watched.abandonAsSilent();
      failed(watched, CallFailure.BROKEN);
    }
  }

  @Override
  public void sent(Attempt sent) {
    context.inputs().scheduleRelease(() -> sent == attempt && !outcome.isFinished());
  }

  @Override
  public void notRun(Attempt ended, int status, HttpHeaders headers, AnswerSignals facts) {
    timers.stopWatchdog();
    outcome.attemptNotRun(ended.upstream(), status);
    if (facts.addressReused()) {
      services.upstreams().markGone(ended.upstream());
    } else if (status == INPUTS_GONE_STATUS && context.inputs().recordMissing()) {
      recomputeInputs();
      return;
    } else if (status == INPUTS_GONE_STATUS || status < INPUTS_GONE_STATUS) {
      finish(Refusal.STAGES_FAILED, "upstream refused with " + status);
      return;
    } else {
      services.loads().avoidFor(ended.upstream(), REJECTION_PAUSE_MILLIS);
    }
    retry("not run, status " + status, Refusal.UPSTREAMS_FULL, true);
  }

  private void recomputeInputs() {
    context.candidates().clearTried();
    if (context.trySpendRetry()) {
      stagePlan.restart();
    } else {
      finish(Refusal.STAGES_FAILED, "inputs gone, retry budget spent");
    }
  }

  @Override
  public void failed(Attempt ended, CallFailure failure) {
    timers.stopWatchdog();
    outcome.attemptFailed(ended.upstream(), failure);
    if (failure.isRequestSent()) {
      boolean mayRun = history.mayRunAgain();
      history.recordPossibleRun();
      quarantine.connectionLost(ended.upstream(), () -> connectionLost(mayRun, failure));
    } else {
      retry(failure.name(), Refusal.UPSTREAMS_FULL, false);
    }
  }

  private void connectionLost(boolean mayRunAgain, CallFailure failure) {
    if (outcome.isFinished()) {
      return;
    }
    if (mayRunAgain) {
      retry(failure.name(), Refusal.BROKEN, true);
    } else {
      fail(Refusal.BROKEN, failure.name());
    }
  }

  private void retry(String why, Refusal otherwise, boolean counted) {
    if (history.isExhausted()) {
      fail(otherwise, why);
    } else if (counted && !context.trySpendRetry()) {
      fail(otherwise, why + ", retry budget spent");
    } else {
      dispatch();
    }
  }

  @Override
  public void answered(Attempt ended, int status, HttpHeaders headers, ByteBuf body) {
    timers.stopWatchdog();
    quarantine.recordAnswered();
    if (history.mayReplaceAnswer(status) && context.trySpendRetry()) {
      body.release();
      history.recordPossibleRun();
      outcome.attemptFailed(ended.upstream(), CallFailure.BROKEN);
      dispatch();
      return;
    }
    if (stream.isStarted()) {
      body.release();
      fail(Refusal.BROKEN, "status " + status + " in place of the rest of a stream");
    } else {
      release();
      outcome.answered(status, headers, body);
    }
  }

  @Override
  public void eventsReceived(StreamAttempt source, ByteBuf events) {
    if (stream.start()) {
      stagePlan.releaseAll();
      outcome.beginStream(source.status(), source.headers());
    }
    stream.recordLastEventId(source.lastEventId());
    outcome.sendEvents(events);
  }

  @Override
  public void streamEnded(StreamAttempt source) {
    quarantine.recordAnswered();
    release();
    outcome.endStream();
  }

  /** Gives the request up if its time passed while no timer counted it. */
  void expireOverdue() {
    timers.expireOverdue();
  }

  private void onTimeout() {
    if (!outcome.isFinished()) {
      finish(attempt == null ? Refusal.LATE_NOT_RUN : Refusal.LATE, "time is up");
    }
  }

  /** The box ends soon: a request that no upstream has got by now is refused, not cut then. */
  void refuseUnsent() {
    if (attempt == null && !outcome.isFinished()) {
      finish(Refusal.STOPPING, "not sent before the stop");
    }
  }

  /** Ends the request; where an attempt may have run, that is what the caller is told. */
  private void fail(Refusal refusal, String why) {
    dispatcher.recordRetryAfter(refusal);
    finish(history.hasPossiblyRun() && refusal.notRun() ? Refusal.BROKEN : refusal, why);
  }

  private void finish(Refusal refusal, String why) {
    release();
    outcome.refuse(refusal, why, stream.isStarted());
  }

  private void release() {
    onFinished.accept(this);
    dispatcher.leaveQueue();
    timers.stopAll();
    Optional.ofNullable(attempt).ifPresent(Attempt::cancel);
    stagePlan.cancel();
  }
}
