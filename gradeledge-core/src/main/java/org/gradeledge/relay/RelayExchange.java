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
 * Processes one request from admission to its final answer: runs its stages, sends it to upstreams
 * and retries failed attempts. Confined to the event loop.
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

  RelayExchange(ExchangeContext context, Consumer<RelayExchange> onFinished) {
    AdmittedRequest admitted = context.admitted();
    this.services = context.services();
    this.route = admitted.route();
    this.history = new AttemptHistory(route);
    this.quarantine = new RequestQuarantine(services, admitted);
    this.timers = new ExchangeTimers(services.eventLoop(), context.clock());
    this.context = context;
    this.dispatcher = new RequestDispatcher(context, this::dispatch);
    this.outcome = context.outcome();
    this.stagePlan = context.stagePlan();
    this.onFinished = onFinished;
    this.stream = new ForwardedStream(context);
  }

  void start() {
    timers.start(this::onTimeout);
    quarantine.checkMayRun(this::proceed);
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

  /** Rejects the request if it is now quarantined and has not been sent to an upstream. */
  void rejectIfQuarantined() {
    if (attempt == null && !outcome.isFinished() && quarantine.isQuarantined()) {
      rejectQuarantined();
    }
  }

  private void rejectQuarantined() {
    outcome.setRetryAfter(quarantine.remainingMillis());
    fail(Refusal.QUARANTINED, "upstreams ended under it");
  }

  void callerDisconnected() {
    if (!outcome.isFinished()) {
      outcome.callerDisconnected();
      release();
    }
  }

  private void stagesCompleted(List<String> results) {
    context.stagesCompleted(results);
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
    } else if (context.mustRecomputeInputs()) {
      stagePlan.restart();
    } else {
      dispatcher.chooseUpstream(this::send, refusal -> fail(refusal, "all tried or held off"));
    }
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
      outcome.attemptAbandoned(watched.upstream(), "silent");
      attemptEnded(watched, CallFailure.BROKEN);
    }
  }

  @Override
  public void sent(Attempt attemptSent) {
    context.inputs().scheduleRelease(() -> attemptSent == attempt && !outcome.isFinished());
  }

  @Override
  public void notRun(Attempt rejected, int status, HttpHeaders headers, AnswerSignals signals) {
    timers.stopWatchdog();
    outcome.attemptNotRun(rejected.upstream(), status);
    if (signals.addressReused()) {
      services.upstreams().markGone(rejected.upstream());
    } else if (status == INPUTS_GONE_STATUS && context.inputs().recordMissing()) {
      recomputeInputs();
      return;
    } else if (status == INPUTS_GONE_STATUS || status < INPUTS_GONE_STATUS) {
      finish(Refusal.STAGES_FAILED, "upstream refused with " + status);
      return;
    } else {
      services.loads().avoidFor(rejected.upstream(), REJECTION_PAUSE_MILLIS);
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
  public void failed(Attempt failedAttempt, CallFailure failure) {
    outcome.attemptFailed(failedAttempt.upstream(), failure.name());
    attemptEnded(failedAttempt, failure);
  }

  private void attemptEnded(Attempt failedAttempt, CallFailure failure) {
    timers.stopWatchdog();
    if (failure.isRequestSent()) {
      boolean mayRun = history.mayRunAgain();
      history.recordPossibleRun();
      quarantine.connectionLost(failedAttempt.upstream(), () -> connectionLost(mayRun, failure));
    } else {
      retry(failure.name(), Refusal.UPSTREAMS_FULL, false);
    }
  }

  private void connectionLost(boolean mayRunAgain, CallFailure failure) {
    if (mayRunAgain && !outcome.isFinished()) {
      retry(failure.name(), Refusal.BROKEN, true);
    } else if (!outcome.isFinished()) {
      fail(Refusal.BROKEN, failure.name());
    }
  }

  private void retry(String reason, Refusal refusal, boolean spendsRetry) {
    if (history.isExhausted()) {
      fail(refusal, reason);
    } else if (spendsRetry && !context.trySpendRetry()) {
      fail(refusal, reason + ", retry budget spent");
    } else {
      dispatch();
    }
  }

  @Override
  public void answered(Attempt answered, int status, HttpHeaders headers, ByteBuf body) {
    timers.stopWatchdog();
    quarantine.recordAnswered(status);
    if (history.mayReplaceAnswer(status) && context.trySpendRetry()) {
      body.release();
      history.recordPossibleRun();
      outcome.attemptFailed(answered.upstream(), "status-" + status);
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
    stream.forward(source, events);
  }

  @Override
  public void streamEnded(StreamAttempt source) {
    quarantine.recordAnswered(source.status());
    release();
    outcome.endStream();
  }

  void expireOverdue() {
    timers.expireOverdue();
  }

  private void onTimeout() {
    if (!outcome.isFinished()) {
      finish(attempt == null ? Refusal.LATE_NOT_RUN : Refusal.LATE, "time is up");
    }
  }

  void refuseUnsent() {
    if (attempt == null && !outcome.isFinished()) {
      finish(Refusal.STOPPING, "not sent before the stop");
    }
  }

  /** Records that the process ends before the request does. */
  void processEnds() {
    outcome.processEnds();
  }

  /** Ends the request; reports {@link Refusal#BROKEN} if an upstream may have run it. */
  private void fail(Refusal refusal, String reason) {
    dispatcher.recordRetryAfter(refusal);
    finish(history.hasPossiblyRun() && refusal.notRun() ? Refusal.BROKEN : refusal, reason);
  }

  private void finish(Refusal refusal, String reason) {
    release();
    outcome.refuse(refusal, reason, stream.isStarted());
  }

  private void release() {
    onFinished.accept(this);
    dispatcher.leaveQueue();
    timers.stopAll();
    Optional.ofNullable(attempt).ifPresent(Attempt::cancel);
    stagePlan.cancel();
  }
}
