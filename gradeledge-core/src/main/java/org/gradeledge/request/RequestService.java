package org.gradeledge.request;

import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.gradeledge.admission.PipelineLimits;
import org.gradeledge.claim.Claim;
import org.gradeledge.claim.ClaimKey;
import org.gradeledge.claim.ClaimOutcome;
import org.gradeledge.claim.ClaimService;
import org.gradeledge.configuration.AccountDefinition;
import org.gradeledge.configuration.ConfigurationRegistry;
import org.gradeledge.configuration.PipelineVersion;
import org.gradeledge.configuration.TextDigest;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.routing.Router;
import org.gradeledge.time.Deadline;
import org.gradeledge.time.MonotonicClock;
import org.gradeledge.upstream.UpstreamProtocol;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;
import org.gradeledge.verdict.Verdict;
import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Takes requests of callers from admission to answer.
 *
 * <p>The events end with a {@link AnswerEvent.Result}, or fail with {@link RefusalException}, whose
 * verdict is "not run" only where nothing was handed to an upstream. Cancelling the events cancels
 * the stages of a repeatable request; one that runs at most once goes on, so that its answer can be
 * asked for again. Thread-safe.
 *
 * @since 0.1
 */
public final class RequestService {

  private static final Duration RECORD_LIMIT = Duration.ofMillis(500);

  private final ConfigurationRegistry configuration;
  private final ServingGate gate;
  private final RequestLimits limits;
  private final ClaimService claims;
  private final PipelineRunner runner;
  private final BoxMetrics metrics;
  private final MonotonicClock clock;

  /** Creates the service from its collaborators. */
  public RequestService(
      ConfigurationRegistry configuration,
      ServingGate gate,
      RequestLimits limits,
      ClaimService claims,
      Router router,
      UpstreamProtocol protocol,
      BoxMetrics metrics,
      MonotonicClock clock) {
    this.configuration = configuration;
    this.gate = gate;
    this.limits = limits;
    this.claims = claims;
    this.runner = new PipelineRunner(new StageRunner(router, protocol, metrics, clock));
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Serves a request; its deadline runs from this call's subscription. */
  public Flux<AnswerEvent> serve(CallerRequest request) {
    return Flux.defer(
        () -> {
          long startNanos = clock.nanos();
          String[] account = {"unknown"};
          return admitAndRun(request, account)
              .doOnComplete(() -> count(request, account[0], Verdict.COMPLETED, "none", startNanos))
              .doOnError(
                  RefusalException.class,
                  e -> count(request, account[0], e.verdict(), e.reason().wireName(), startNanos))
              .doOnCancel(
                  () ->
                      count(
                          request,
                          account[0],
                          Verdict.MAY_HAVE_RUN,
                          RefusalReason.CALLER_LEFT.wireName(),
                          startNanos));
        });
  }

  private Flux<AnswerEvent> admitAndRun(CallerRequest request, String[] accountName) {
    gate.checkOpen();
    PipelineVersion version = configuration.serving(request.pipeline());
    AccountDefinition account = account(version, request);
    accountName[0] = account.name();
    Duration limit = deadline(account, request);
    PipelineLimits stageLimits = limits.pipeline(version.file());
    stageLimits.checkReachable(version.file(), account, limit);
    if (version.file().runsAtMostOnce() && request.idempotencyKey().isEmpty()) {
      throw RefusalException.because(RefusalReason.IDEMPOTENCY_KEY_MISSING)
          .detail("a stage of this pipeline runs at most once: Idempotency-Key must be given")
          .build();
    }
    RequestContext context =
        new RequestContext(
            request,
            version,
            account,
            Deadline.after(clock, limit),
            stageLimits,
            new RequestProgress());
    var accountLimiter = limits.account(version.file(), account);
    accountLimiter.enter(account);
    gate.started();
    Flux<AnswerEvent> answer =
        (request.idempotencyKey().isPresent() ? runClaimed(context) : runBounded(context))
            .doFinally(
                signal -> {
                  accountLimiter.leave();
                  gate.ended();
                });
    return request.idempotencyKey().isPresent() ? detached(answer) : answer;
  }

  /** Lets the work go on to its end although its caller has left. */
  private static Flux<AnswerEvent> detached(Flux<AnswerEvent> answer) {
    return Flux.defer(
        () -> {
          var shared = answer.replay();
          shared.connect();
          return shared;
        });
  }

  private Flux<AnswerEvent> runBounded(RequestContext context) {
    return runner
        .run(context)
        .mergeWith(Flux.defer(() -> failAtDeadline(context)))
        .takeUntil(AnswerEvent.Result.class::isInstance)
        .onErrorMap(e -> explain(context, e));
  }

  private static Flux<AnswerEvent> failAtDeadline(RequestContext context) {
    return Mono.delay(context.deadline().left())
        .<AnswerEvent>flatMap(tick -> Mono.error(new TimeoutException()))
        .flux();
  }

  private Flux<AnswerEvent> runClaimed(RequestContext context) {
    CallerRequest request = context.request();
    ClaimKey key =
        new ClaimKey(
            request.pipeline(), context.account().name(), request.idempotencyKey().orElse(""));
    return claims
        .claim(key, request.bodyDigest(), context.file().retention())
        .timeout(context.deadline().left())
        .onErrorMap(e -> explain(context, e))
        .flatMapMany(outcome -> afterClaim(context, outcome));
  }

  private Flux<AnswerEvent> afterClaim(RequestContext context, ClaimOutcome outcome) {
    if (outcome instanceof ClaimOutcome.Won won) {
      return runUnderClaim(context, won.claim());
    }
    if (outcome instanceof ClaimOutcome.Answered answered) {
      return Flux.just(RecordedAnswer.read(answered.result()));
    }
    RefusalReason reason =
        outcome instanceof ClaimOutcome.OtherBody
            ? RefusalReason.KEY_USED_WITH_ANOTHER_BODY
            : RefusalReason.KEY_IN_USE;
    Verdict verdict = reason == RefusalReason.KEY_IN_USE ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    return Flux.error(
        RefusalException.because(reason)
            .verdict(verdict)
            .detail("the idempotency key was used before")
            .build());
  }

  private Flux<AnswerEvent> runUnderClaim(RequestContext context, Claim claim) {
    return runBounded(context)
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
        .timeout(RECORD_LIMIT)
        .onErrorResume(
            e -> {
              metrics.stateChange("answer-not-recorded");
              return Mono.empty();
            });
  }

  private Flux<AnswerEvent> releaseIfNotRun(Claim claim, RefusalException e) {
    Mono<Void> release =
        e.verdict().allowsRepeat()
            ? claims.release(claim).timeout(RECORD_LIMIT).onErrorComplete()
            : Mono.empty();
    return release.thenMany(Flux.error(e));
  }

  private static RefusalException explain(RequestContext context, Throwable e) {
    RequestProgress progress = context.progress();
    if (e instanceof RefusalException refusal) {
      return refusal.alsoCovering(progress.verdict());
    }
    boolean late = e instanceof TimeoutException;
    if (!late) {
      Logger.error(e, "request failed: id={}", context.request().requestId());
    }
    return RefusalException.because(late ? RefusalReason.DEADLINE_PASSED : RefusalReason.INTERNAL)
        .verdict(progress.verdict())
        .stage(progress.stage().isEmpty() ? null : progress.stage())
        .cause(e)
        .build();
  }

  private static AccountDefinition account(PipelineVersion version, CallerRequest request) {
    AccountDefinition found = null;
    for (AccountDefinition account : version.file().accounts()) {
      if (TextDigest.matches(account.tokenSha256(), request.tokenSha256())) {
        found = account;
      }
    }
    if (found == null) {
      throw RefusalException.because(RefusalReason.TOKEN_UNKNOWN)
          .detail("the bearer token must be one of this pipeline's client accounts")
          .build();
    }
    return found;
  }

  private static Duration deadline(AccountDefinition account, CallerRequest request) {
    long asked = request.deadlineMs().orElse(account.deadlineMs());
    if (asked < 1 || asked > account.deadlineMs()) {
      throw RefusalException.because(RefusalReason.DEADLINE_INVALID)
          .detail("the deadline must be from 1 to " + account.deadlineMs() + " ms")
          .build();
    }
    return Duration.ofMillis(asked);
  }

  private void count(
      CallerRequest request, String account, Verdict verdict, String reason, long startNanos) {
    boolean known = configuration.inForce(request.pipeline()).isPresent();
    metrics.request(
        known ? request.pipeline() : "unknown",
        account,
        verdict.wireName(),
        reason,
        clock.nanos() - startNanos);
  }
}
