package org.gradeledge.request;

import java.time.Duration;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.gradeledge.claim.Claim;
import org.gradeledge.claim.ClaimKey;
import org.gradeledge.claim.ClaimOutcome;
import org.gradeledge.claim.ClaimService;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;
import org.gradeledge.verdict.Verdict;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Runs work under the claim of its idempotency key, records its answer, and gives the claim back
 * where nothing ran. Thread-safe.
 */
final class AtMostOnceRunner {

  private static final Duration RECORD_TIMEOUT = Duration.ofMillis(500);

  private final ClaimService claims;
  private final BoxMetrics metrics;

  AtMostOnceRunner(ClaimService claims, BoxMetrics metrics) {
    this.claims = claims;
    this.metrics = metrics;
  }

  /** Runs the work, unless its key says that it ran or may have run before. */
  Flux<AnswerEvent> run(RequestContext context, Supplier<Flux<AnswerEvent>> work) {
    CallerRequest request = context.request();
    ClaimKey key =
        new ClaimKey(
            request.pipeline(), context.account().name(), request.idempotencyKey().orElse(""));
    return claims
        .claim(key, request.bodyDigest(), context.file().resultRetention())
        .timeout(context.deadline().remaining())
        .onErrorMap(TimeoutException.class, e -> claimTimedOut(e))
        .flatMapMany(outcome -> handleOutcome(outcome, work));
  }

  private Flux<AnswerEvent> handleOutcome(ClaimOutcome outcome, Supplier<Flux<AnswerEvent>> work) {
    if (outcome instanceof ClaimOutcome.Acquired won) {
      return runUnderClaim(won.claim(), work);
    }
    if (outcome instanceof ClaimOutcome.Answered answered) {
      return Flux.just(RecordedAnswer.read(answered.result()));
    }
    RefusalReason reason =
        outcome instanceof ClaimOutcome.BodyMismatch
            ? RefusalReason.KEY_USED_WITH_ANOTHER_BODY
            : RefusalReason.KEY_IN_USE;
    Verdict verdict = reason == RefusalReason.KEY_IN_USE ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    return Flux.error(
        RefusalException.forReason(reason)
            .verdict(verdict)
            .detail("the idempotency key was used before")
            .build());
  }

  private Flux<AnswerEvent> runUnderClaim(Claim claim, Supplier<Flux<AnswerEvent>> work) {
    return work.get()
        .concatMap(
            event ->
                event instanceof AnswerEvent.Result result
                    ? record(claim, result).thenReturn(event)
                    : Mono.just(event))
        .onErrorResume(RefusalException.class, e -> releaseIfNotRun(claim, e));
  }

  private Mono<Void> record(Claim claim, AnswerEvent.Result result) {
    return claims
        .complete(claim, RecordedAnswer.write(result))
        .timeout(RECORD_TIMEOUT)
        .onErrorResume(
            e -> {
              metrics.stateChange("answer-not-recorded");
              return Mono.empty();
            });
  }

  private Flux<AnswerEvent> releaseIfNotRun(Claim claim, RefusalException e) {
    Mono<Void> release =
        e.verdict().allowsRetry()
            ? claims.release(claim).timeout(RECORD_TIMEOUT).onErrorComplete()
            : Mono.empty();
    return release.thenMany(Flux.error(e));
  }

  private static RefusalException claimTimedOut(TimeoutException e) {
    return RefusalException.forReason(RefusalReason.DEADLINE_PASSED)
        .detail("the claim of the idempotency key was not written in time")
        .cause(e)
        .build();
  }
}
