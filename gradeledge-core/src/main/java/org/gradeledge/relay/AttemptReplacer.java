package org.gradeledge.relay;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.function.Consumer;
import org.gradeledge.deployment.Repeatability;
import org.gradeledge.deployment.RouteDefinition;

/**
 * Decides what happens while the current attempt of a repeatable request is silent. An attempt is
 * given up only once its replacement is granted, which takes a further attempt, a retry of the
 * budget, an upstream that accepts the request, and its stage inputs; if events were forwarded,
 * also only once the replacement has answered. Until then the current attempt goes on, so that
 * replacing it is never worse than waiting.
 *
 * <p>Confined to the event loop.
 */
final class AttemptReplacer {

  /** Time after which a stream whose connection was lost ends if nothing can replace it. */
  private static final long GIVE_UP_MILLIS = 5_000;

  private final ExchangeContext context;
  private final AttemptHistory history;
  private final ForwardedStream stream;
  private final ActiveAttempts attempts;
  private final ExchangeTimers timers;
  private final AttemptSender sender;
  private Consumer<Attempt> replaceAction = abandoned -> {};
  private Consumer<String> giveUpAction = reason -> {};
  private SilenceVerdict verdict = SilenceVerdict.PAUSING;
  private String lastDecision = "";
  private Optional<Attempt> computingInputs = Optional.empty();
  private boolean inputsFailed;

  AttemptReplacer(
      ExchangeContext context,
      AttemptHistory history,
      ForwardedStream stream,
      ActiveAttempts attempts,
      ExchangeTimers timers,
      AttemptSender sender) {
    this.context = context;
    this.history = history;
    this.stream = stream;
    this.attempts = attempts;
    this.timers = timers;
    this.sender = sender;
  }

  /** Sets the action that sends the request again after an attempt without events was abandoned. */
  AttemptReplacer onReplace(Consumer<Attempt> action) {
    replaceAction = action;
    return this;
  }

  /** Sets the action that ends a request whose answer can no longer arrive. */
  AttemptReplacer onGiveUp(Consumer<String> action) {
    giveUpAction = action;
    return this;
  }

  /** Watches the current attempt, if the request may be repeated. */
  void watch(Attempt attempt) {
    lastDecision = "";
    RouteDefinition route = context.admitted().route();
    EventLoop loop = context.services().eventLoop();
    if (route.repeatability() == Repeatability.RESUMABLE_STREAM) {
      StreamAttempt watched = (StreamAttempt) attempt;
      timers.setWatchdog(AttemptWatchdog.forStream(loop, watched, onSilentStream(watched)));
    } else if (route.repeatability().repeatable() && route.maxAttempts() > 1) {
      Runnable onSilent = () -> onSilent(attempt, SilenceVerdict.UNANSWERED);
      timers.setWatchdog(AttemptWatchdog.forWholeAnswer(loop, context.clock(), onSilent));
    }
  }

  private Runnable onSilentStream(StreamAttempt attempt) {
    SilenceAssessment assessment =
        new SilenceAssessment(
            context.services().runInspector(),
            attempt,
            context.admitted().request().id(),
            stream.lastEventId().isPresent());
    return () -> onSilent(attempt, assessment.assess());
  }

  private void onSilent(Attempt silent, SilenceVerdict newVerdict) {
    verdict = newVerdict;
    if (!attempts.isCurrent(silent) || computingInputs.isPresent()) {
      return;
    }
    if (attempts.hasStandby()) {
      selectStandbyIfLost(silent);
    } else if (verdict == SilenceVerdict.PAUSING) {
      log(silent, "goes on");
    } else {
      findObstacle()
          .ifPresentOrElse(obstacle -> keep(silent, obstacle), () -> startReplacement(silent));
    }
  }

  /** Selects a standby that is silent as well, so that it is watched, once the other is lost. */
  private void selectStandbyIfLost(Attempt silent) {
    if (isLostForGood(silent)) {
      attempts.standby().ifPresent(this::select);
    }
  }

  private boolean isLostForGood(Attempt silent) {
    return verdict == SilenceVerdict.CONNECTION_LOST && silent.silentMillis() >= GIVE_UP_MILLIS;
  }

  /** Returns why the attempt cannot be replaced now; takes a retry from the budget if it can. */
  private Optional<String> findObstacle() {
    if (!history.mayRunAgain() || history.isExhausted()) {
      return Optional.of("no attempt left");
    }
    if (!sender.maySend()) {
      return Optional.of("quarantined");
    }
    if (!context.candidates().hasNext()) {
      return Optional.of("no other upstream");
    }
    if (inputsFailed) {
      return Optional.of("stage work failed");
    }
    return context.trySpendRetry() ? Optional.empty() : Optional.of("retry budget spent");
  }

  private void keep(Attempt silent, String obstacle) {
    log(silent, "goes on, " + obstacle);
    if (isLostForGood(silent)) {
      history.recordPossibleRun();
      giveUpAction.accept("connection lost, " + obstacle);
    }
  }

  /** Logs a decision unless it is the same as the last one. */
  private void log(Attempt silent, String decision) {
    String line = verdict.label() + ", " + decision;
    if (!line.equals(lastDecision)) {
      lastDecision = line;
      context.outcome().attemptSilent(silent, line);
    }
  }

  private void startReplacement(Attempt silent) {
    log(silent, "replacement granted");
    if (context.inputs().areAvailable()) {
      sendReplacement(silent);
    } else {
      computingInputs = Optional.of(silent);
      context.stagePlan().restart();
    }
  }

  private void sendReplacement(Attempt silent) {
    if (stream.isStarted()) {
      context.candidates().chooseNext().ifPresent(sender::sendStandby);
    } else {
      timers.stopWatchdog();
      abandon(silent, true);
      replaceAction.accept(silent);
    }
  }

  /**
   * Called when stage work is done; returns whether it was done to replace a silent attempt, which
   * happens now.
   */
  boolean onInputsComputed() {
    Optional<Attempt> silent = computingInputs;
    computingInputs = Optional.empty();
    silent.ifPresent(this::sendReplacement);
    return silent.isPresent();
  }

  /** Called when stage work has failed; returns whether the current attempt goes on without it. */
  boolean onInputsFailed() {
    inputsFailed = computingInputs.isPresent();
    computingInputs = Optional.empty();
    return inputsFailed;
  }

  /** Called when an attempt has answered: it becomes the only one. */
  void onAnswered(Attempt winner) {
    if (computingInputs.isPresent()) {
      computingInputs = Optional.empty();
      context.stagePlan().cancel();
    }
    if (attempts.hasStandby()) {
      select(winner);
    }
  }

  private void select(Attempt winner) {
    boolean standbyWon = !attempts.isCurrent(winner);
    attempts.select(winner).ifPresent(loser -> abandon(loser, standbyWon));
    if (standbyWon) {
      watch(winner);
    }
  }

  private void abandon(Attempt loser, boolean wasSilent) {
    history.recordPossibleRun();
    context.outcome().attemptAbandoned(loser, wasSilent ? verdict.label() : "other-answered");
    if (wasSilent) {
      loser.abandonAsSilent(verdict);
    }
  }

  /**
   * Called when an attempt has ended without an answer; returns whether another one goes on, or
   * will be sent once its inputs are computed.
   */
  boolean onEnded(Attempt ended) {
    boolean replacementPending = computingInputs.isPresent();
    computingInputs = Optional.empty();
    boolean wasCurrent = attempts.isCurrent(ended);
    Optional<Attempt> remaining = attempts.remove(ended);
    if (wasCurrent) {
      timers.stopWatchdog();
      remaining.ifPresent(this::watch);
    }
    return replacementPending || remaining.isPresent();
  }
}
