package org.gradeledge.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import org.gradeledge.admission.RetryTokenBucket;
import org.gradeledge.admission.StageTicket;
import org.gradeledge.configuration.StageDefinition;
import org.gradeledge.metrics.AttemptResult;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.metrics.StageCost;
import org.gradeledge.routing.Router;
import org.gradeledge.routing.UpstreamState;
import org.gradeledge.time.MonotonicClock;
import org.gradeledge.upstream.UpstreamCall;
import org.gradeledge.upstream.UpstreamEvent;
import org.gradeledge.upstream.UpstreamException;
import org.gradeledge.upstream.UpstreamProtocol;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;
import org.gradeledge.verdict.Verdict;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Runs one stage of a request: waits for a permit, chooses an upstream at dispatch, calls it, and
 * tries again where that cannot do harm.
 *
 * <p>A stage goes again only where it is repeatable or the upstream said that it did not run, where
 * the retry budget allows it and the deadline has not passed. A stream goes on after its last
 * token.
 */
final class StageRunner {

  private static final int MAX_ATTEMPTS = 3;
  private static final int ATTEMPT_TIMEOUT_FACTOR = 2;
  private static final Duration ATTEMPT_TIMEOUT_EXTRA = Duration.ofMillis(50);

  private final Router router;
  private final UpstreamProtocol protocol;
  private final BoxMetrics metrics;
  private final MonotonicClock clock;
  private final RetryTokenBucket retryBudget = new RetryTokenBucket();

  StageRunner(Router router, UpstreamProtocol protocol, BoxMetrics metrics, MonotonicClock clock) {
    this.router = router;
    this.protocol = protocol;
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Returns the events of a stage: tokens where it streams, then one answer. */
  Flux<UpstreamEvent> run(RequestContext context, int stageIndex, JsonNode input) {
    return Flux.defer(
        () -> {
          retryBudget.recordFirstAttempt(context.file().retryBudgetOrDefault());
          return new StageExecution(context, stageIndex, input).attempt();
        });
  }

  /** The attempts of one stage of one request; used by one subscriber. */
  private final class StageExecution {

    private final RequestContext context;
    private final StageDefinition stage;
    private final int stageIndex;
    private final JsonNode input;
    private final Set<String> triedUpstreamIds = new HashSet<>();
    private int attempts;
    private long lastOffset = -1;

    StageExecution(RequestContext context, int stageIndex, JsonNode input) {
      this.context = context;
      this.stageIndex = stageIndex;
      this.stage = context.file().stages().get(stageIndex);
      this.input = input;
    }

    Flux<UpstreamEvent> attempt() {
      return context
          .limits()
          .limiter(stage)
          .acquire(ticket())
          .flatMapMany(release -> dispatch().doFinally(signal -> release.run()))
          .onErrorResume(UpstreamException.class, this::retryOrRefuse);
    }

    private StageTicket ticket() {
      var rest = context.file().stages().subList(stageIndex, context.file().stages().size());
      return new StageTicket(
          context.account(),
          context.deadline(),
          context.limits().minimumTimeToStart(rest, context.account()));
    }

    private Flux<UpstreamEvent> dispatch() {
      if (context.deadline().hasPassed()) {
        return Flux.error(refusal(RefusalReason.DEADLINE_PASSED, Verdict.NOT_RUN, null));
      }
      return router
          .route(context.file(), stage, triedUpstreamIds)
          .map(this::call)
          .orElseGet(() -> Flux.error(refusal(RefusalReason.NO_UPSTREAM, Verdict.NOT_RUN, null)));
    }

    private Flux<UpstreamEvent> call(UpstreamState upstream) {
      attempts++;
      triedUpstreamIds.add(upstream.definition().id());
      upstream.recordCallStarted();
      context.progress().callStarted();
      CallRecorder end = new CallRecorder(upstream, clock.nanos());
      return withAttemptTimeout(protocol.call(upstreamCall(upstream)))
          .doOnNext(end::recordEvent)
          .doOnComplete(() -> end.finish(AttemptResult.USED, Verdict.MAY_HAVE_RUN))
          .doOnError(UpstreamException.class, e -> end.finish(AttemptResult.FAILED, e.verdict()))
          .doOnCancel(() -> end.finish(AttemptResult.CANCELLED, Verdict.MAY_HAVE_RUN));
    }

    /**
     * Ends an attempt of a repeatable stage that takes far longer than calls of the stage do, so
     * that a frozen upstream is found out and another one asked while there is time.
     */
    private Flux<UpstreamEvent> withAttemptTimeout(Flux<UpstreamEvent> events) {
      Duration slow = context.limits().latencies(stage).percentile99();
      if (!stage.repeatable() || slow.isZero()) {
        return events;
      }
      Duration limit = slow.multipliedBy(ATTEMPT_TIMEOUT_FACTOR).plus(ATTEMPT_TIMEOUT_EXTRA);
      return events
          .timeout(Mono.delay(limit))
          .onErrorMap(
              TimeoutException.class,
              e ->
                  new UpstreamException(
                      Verdict.MAY_HAVE_RUN,
                      RefusalReason.UPSTREAM_FAILED,
                      "no answer within " + limit.toMillis() + " ms",
                      e));
    }

    private UpstreamCall upstreamCall(UpstreamState upstream) {
      return new UpstreamCall(
          context.request().requestId(),
          stage,
          attempts,
          upstream.definition(),
          input,
          context.deadline().remaining(),
          stage.repeatable() ? "" : context.request().idempotencyKey().orElse(""),
          lastOffset < 0 ? OptionalLong.empty() : OptionalLong.of(lastOffset));
    }

    private Flux<UpstreamEvent> retryOrRefuse(UpstreamException e) {
      boolean harmless = stage.repeatable() || e.verdict().allowsRetry();
      boolean again =
          harmless
              && attempts < MAX_ATTEMPTS
              && !context.deadline().hasPassed()
              && retryBudget.tryAcquire();
      return again ? attempt() : Flux.error(refusal(e.reason(), e.verdict(), e));
    }

    private RefusalException refusal(
        RefusalReason reason, Verdict verdict, @Nullable Throwable cause) {
      return RefusalException.forReason(reason)
          .verdict(verdict)
          .stage(stage.name())
          .detail(cause == null ? null : cause.getMessage())
          .cause(cause)
          .build();
    }

    /** What one call came to; tells the upstream's state, the times and the metrics once. */
    private final class CallRecorder {

      private final UpstreamState upstream;
      private final long startNanos;
      private long tokensIn;
      private long tokensOut;
      private boolean finished;

      CallRecorder(UpstreamState upstream, long startNanos) {
        this.upstream = upstream;
        this.startNanos = startNanos;
      }

      void recordEvent(UpstreamEvent event) {
        if (event instanceof UpstreamEvent.Token token) {
          lastOffset = token.offset();
          tokensOut++;
        } else if (event instanceof UpstreamEvent.Answer answer) {
          tokensIn = answer.tokensIn();
          tokensOut = Math.max(tokensOut, answer.tokensOut());
        }
      }

      synchronized void finish(AttemptResult result, Verdict verdict) {
        if (finished) {
          return;
        }
        finished = true;
        context.progress().callEnded(verdict);
        long nanos = clock.nanos() - startNanos;
        switch (result) {
          case USED -> {
            upstream.recordCallSucceeded(nanos);
            context.limits().limiter(stage).recordCompletion(nanos);
          }
          case FAILED -> upstream.recordCallFailed();
          default -> upstream.recordCallCancelled();
        }
        metrics
            .costs()
            .add(
                new StageCost(
                    context.file().pipeline(),
                    stage.name(),
                    context.account().name(),
                    result,
                    nanos,
                    tokensIn,
                    tokensOut));
      }
    }
  }
}
