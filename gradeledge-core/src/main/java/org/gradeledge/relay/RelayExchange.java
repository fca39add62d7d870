package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.function.Consumer;
import org.gradeledge.batch.StageGroupResult;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * Processes one request from admission to its final answer: runs its stages, sends it to upstreams
 * and retries failed attempts. Confined to the event loop.
 */
final class RelayExchange implements AttemptListener {

  private static final int INPUTS_GONE_STATUS = 409;

  private final RelayServices services;
  private final ExchangeContext context;
  private final ExchangeOutcome outcome;
  private final StagePlan stagePlan;
  private final AttemptHistory history;
  private final RequestQuarantine quarantine;
  private final ExchangeTimers timers;
  private final RequestDispatcher dispatcher;
  private final ForwardedStream stream;
  private final Consumer<RelayExchange> onFinished;
  private final ActiveAttempts attempts = new ActiveAttempts();
  private final AttemptSender sender;
  private final AttemptReplacer replacer;

  RelayExchange(ExchangeContext context, Consumer<RelayExchange> onFinished) {
    AdmittedRequest admitted = context.admitted();
    this.services = context.services();
    this.history = new AttemptHistory(admitted.route());
    this.quarantine = new RequestQuarantine(services, admitted);
    this.timers = new ExchangeTimers(services.eventLoop(), context.clock());
    this.context = context;
    this.dispatcher = new RequestDispatcher(context, this::dispatch);
    this.outcome = context.outcome();
    this.stagePlan = context.stagePlan();
    this.onFinished = onFinished;
    this.stream = new ForwardedStream(context);
    this.sender = new AttemptSender(context, history, quarantine, stream, attempts, this);
    this.replacer =
        new AttemptReplacer(context, history, stream, attempts, timers, sender)
            .onReplace(silent -> quarantine.connectionLost(silent, this::dispatch))
            .onGiveUp(reason -> fail(Refusal.BROKEN, reason));
  }

  void start() {
    timers.start(this::onTimeout);
    quarantine.checkMayRun(this::proceed);
  }

  private void proceed(boolean mayRun) {
    if (!mayRun) {
      rejectQuarantined();
    } else if (!outcome.isFinished()) {
      begin();
    }
  }

  private void begin() {
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
    if (!history.hasSent() && quarantine.isQuarantined()) {
      rejectQuarantined();
    }
  }

  private void rejectQuarantined() {
    outcome.setRetryAfter(quarantine.remainingMillis());
    outcome.setExplanationSubject(quarantine.quarantinedPartId().orElse(""));
    fail(quarantine.refusal(), "upstreams ended under it");
  }

  void callerDisconnected() {
    if (!outcome.isFinished()) {
      outcome.callerDisconnected();
      release();
    }
  }

  private void stagesCompleted(List<String> results) {
    context.stagesCompleted(results);
    if (!replacer.onInputsComputed()) {
      dispatch();
    }
  }

  private void stagesFailed(int stage, StageGroupResult result) {
    quarantine.recordStageCrashes(result.endedUpstreams());
    if (!replacer.onInputsFailed()) {
      outcome.setJitteredRetryAfter(result.comeBackMillis());
      finish(Refusal.STAGES_FAILED, "stage " + stage + " " + result.outcome());
    }
  }

  private void dispatch() {
    if (outcome.isFinished()) {
      return;
    }
    if (quarantine.isQuarantined()) {
      rejectQuarantined();
    } else if (context.mustRecomputeInputs()) {
      stagePlan.restart();
    } else {
      dispatcher.chooseUpstream(this::send, refusal -> fail(refusal, "all tried or held off"));
    }
  }

  private void send(UpstreamRecord upstream) {
    replacer.watch(sender.send(upstream));
  }

  @Override
  public void sent(Attempt attemptSent) {
    context.inputs().scheduleRelease(() -> attempts.contains(attemptSent) && !outcome.isFinished());
  }

  @Override
  public void notRun(Attempt rejected, int status, HttpHeaders headers, AnswerSignals signals) {
    outcome.attemptNotRun(rejected, status);
    boolean inputsMissing = status == INPUTS_GONE_STATUS && context.inputs().recordMissing();
    boolean mayAcceptLater = status > INPUTS_GONE_STATUS;
    context.recordRejection(rejected.upstream(), mayAcceptLater, signals);
    if (replacer.onEnded(rejected)) {
      return;
    }
    if (inputsMissing) {
      recomputeInputs();
    } else if (!mayAcceptLater && !signals.addressReused()) {
      finish(Refusal.STAGES_FAILED, "upstream refused with " + status);
    } else {
      retry("not run, status " + status, Refusal.UPSTREAMS_FULL, true);
    }
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
    outcome.attemptFailed(failedAttempt, failure.name());
    boolean otherGoesOn = replacer.onEnded(failedAttempt);
    if (failure.isRequestSent()) {
      boolean mayRun = history.mayRunAgain();
      history.recordPossibleRun();
      Runnable next = otherGoesOn ? () -> {} : () -> connectionLost(mayRun, failure);
      quarantine.connectionLost(failedAttempt, next);
    } else if (!otherGoesOn) {
      retry(failure.name(), Refusal.UPSTREAMS_FULL, false);
    }
  }

  private void connectionLost(boolean mayRunAgain, CallFailure failure) {
    if (mayRunAgain && !outcome.isFinished()) {
      retry(failure.name(), Refusal.BROKEN, true);
    } else {
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
    quarantine.recordAnswered(status);
    if (replacesAnswer(answered, status)) {
      body.release();
    } else if (stream.isStarted()) {
      body.release();
      fail(Refusal.BROKEN, "status " + status + " in place of the rest of a stream");
    } else {
      replacer.onAnswered(answered);
      release();
      outcome.answered(answered, status, headers, body);
    }
  }

  /** Returns whether another attempt takes the place of one that was answered with an error. */
  private boolean replacesAnswer(Attempt answered, int status) {
    boolean mayReplace = history.mayReplaceAnswer(status);
    boolean otherGoesOn = (mayReplace || stream.isStarted()) && replacer.onEnded(answered);
    if (!otherGoesOn && !(mayReplace && context.trySpendRetry())) {
      return false;
    }
    history.recordPossibleRun();
    outcome.attemptFailed(answered, "status-" + status);
    if (!otherGoesOn) {
      dispatch();
    }
    return true;
  }

  @Override
  public void eventsReceived(StreamAttempt source, ByteBuf events) {
    replacer.onAnswered(source);
    quarantine.recordEvents(source);
    stream.forward(source, events);
  }

  @Override
  public void streamEnded(StreamAttempt source) {
    quarantine.recordAnswered(source.status());
    replacer.onAnswered(source);
    release();
    outcome.endStream();
  }

  void expireOverdue() {
    timers.expireOverdue();
  }

  private void onTimeout() {
    finish(history.hasSent() ? Refusal.LATE : Refusal.LATE_NOT_RUN, "time is up");
  }

  void refuseUnsent() {
    if (!history.hasSent()) {
      finish(Refusal.STOPPING, "not sent before the stop");
    }
  }

  /** Ends the request before the process does; a begun stream can only be cut. */
  void processEnds() {
    refuseUnsent();
    outcome.processEnds(stream.isStarted());
  }

  private void fail(Refusal refusal, String reason) {
    dispatcher.recordRetryAfter(refusal);
    finish(refusal, reason);
  }

  /**
   * Ends the request unless it has ended before; reports {@link Refusal#BROKEN} in place of a
   * refusal that promises that the request has not run if an upstream may have run it.
   */
  private void finish(Refusal refusal, String reason) {
    if (!outcome.isFinished()) {
      release();
      outcome.refuse(history.truthful(refusal), reason, stream.isStarted());
    }
  }

  private void release() {
    onFinished.accept(this);
    dispatcher.leaveQueue();
    timers.stopAll();
    attempts.cancelAll();
    stagePlan.cancel();
  }
}
