package org.gradeledge.request;

import java.time.Duration;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.gradeledge.admission.PipelineLimits;
import org.gradeledge.claim.ClaimService;
import org.gradeledge.configuration.AccountDefinition;
import org.gradeledge.configuration.ConfigurationRegistry;
import org.gradeledge.configuration.PipelineVersion;
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

  private static final String UNKNOWN = "unknown";

  private final ConfigurationRegistry configuration;
  private final ServingGate gate;
  private final RequestLimits limits;
  private final AtMostOnceRunner atMostOnce;
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
    this.atMostOnce = new AtMostOnceRunner(claims, metrics);
    this.runner = new PipelineRunner(new StageRunner(router, protocol, metrics, clock));
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Serves a request; its deadline runs from this call's subscription. */
  public Flux<AnswerEvent> serve(CallerRequest request) {
    return Flux.defer(
        () -> {
          long startNanos = clock.nanos();
          AtomicReference<String> account = new AtomicReference<>(UNKNOWN);
          return admitAndRun(request, account)
              .doOnComplete(
                  () ->
                      recordMetrics(request, account.get(), Verdict.COMPLETED, "none", startNanos))
              .doOnError(
                  RefusalException.class,
                  e ->
                      recordMetrics(
                          request, account.get(), e.verdict(), e.reason().wireName(), startNanos))
              .doOnCancel(
                  () ->
                      recordMetrics(
                          request,
                          account.get(),
                          Verdict.MAY_HAVE_RUN,
                          RefusalReason.CALLER_LEFT.wireName(),
                          startNanos));
        });
  }

  private Flux<AnswerEvent> admitAndRun(
      CallerRequest request, AtomicReference<String> accountName) {
    gate.checkOpen();
    PipelineVersion version = configuration.requireServing(request.pipeline());
    AccountDefinition account = RequestValidator.authenticate(version, request);
    accountName.set(account.name());
    Duration limit = RequestValidator.resolveDeadline(account, request);
    RequestValidator.requireIdempotencyKey(version.file(), request);
    PipelineLimits stageLimits = limits.limitsOf(version.file());
    stageLimits.checkDeadline(version.file(), account, limit);
    RequestContext context =
        new RequestContext(
            request,
            version,
            account,
            Deadline.after(clock, limit),
            stageLimits,
            new RequestProgress());
    var accountLimiter = limits.limiterOf(version.file(), account);
    accountLimiter.acquire(account);
    gate.requestStarted();
    Flux<AnswerEvent> answer =
        (request.idempotencyKey().isPresent()
                ? atMostOnce.run(context, () -> runUntilDeadline(context))
                : runUntilDeadline(context))
            .doFinally(
                signal -> {
                  accountLimiter.release();
                  gate.requestEnded();
                });
    return request.idempotencyKey().isPresent() ? continueWithoutCaller(answer) : answer;
  }

  /** Lets the work go on to its end although its caller has left. */
  private static Flux<AnswerEvent> continueWithoutCaller(Flux<AnswerEvent> answer) {
    return Flux.defer(
        () -> {
          var shared = answer.replay();
          shared.connect();
          return shared;
        });
  }

  private Flux<AnswerEvent> runUntilDeadline(RequestContext context) {
    return runner
        .run(context)
        .mergeWith(Flux.defer(() -> failAtDeadline(context)))
        .takeUntil(AnswerEvent.Result.class::isInstance)
        .onErrorMap(e -> toRefusal(context, e));
  }

  private static Flux<AnswerEvent> failAtDeadline(RequestContext context) {
    return Mono.delay(context.deadline().remaining())
        .<AnswerEvent>flatMap(tick -> Mono.error(new TimeoutException()))
        .flux();
  }

  private static RefusalException toRefusal(RequestContext context, Throwable e) {
    RequestProgress progress = context.progress();
    if (e instanceof RefusalException refusal) {
      return refusal.withEarlierVerdict(progress.verdict());
    }
    boolean late = e instanceof TimeoutException;
    if (!late) {
      Logger.error(e, "request failed: id={}", context.request().requestId());
    }
    return RefusalException.forReason(late ? RefusalReason.DEADLINE_PASSED : RefusalReason.INTERNAL)
        .verdict(progress.verdict())
        .stage(progress.stage().isEmpty() ? null : progress.stage())
        .cause(e)
        .build();
  }

  private void recordMetrics(
      CallerRequest request, String account, Verdict verdict, String reason, long startNanos) {
    boolean known = configuration.findActive(request.pipeline()).isPresent();
    metrics.request(
        known ? request.pipeline() : UNKNOWN,
        account,
        verdict.wireName(),
        reason,
        clock.nanos() - startNanos);
  }
}
