package org.gradeledge.batch;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.CancellableCall;
import org.gradeledge.deployment.BatchLimits;

/**
 * The waiting pieces of one service and the calls that process them.
 *
 * <p>A free upstream immediately receives a call with the most urgent pieces, up to its limits.
 * While all upstreams are processing calls, the queue grows and so do the next batches. Confined to
 * the event loop.
 */
final class BatchQueue implements BatchCall.Listener {

  private static final int HTTP_OK = 200;
  private static final int HTTP_UNAVAILABLE = 503;
  private static final double FULL_PAUSE_SHARE = 0.6;

  /** Share of a call's fixed time after which its inputs count as fetched; longer if it is slow. */
  private static final double INPUT_FETCH_SHARE = 0.5;

  private final String service;
  private final BatchContext context;
  private final EventLoop loop;
  private final WaitingPieces waiting = new WaitingPieces();
  private final ResultMemory resultMemory;
  private final BatchUpstreams upstreams;
  private final BatchResultHandler resultHandler;
  private final CallTimeouts timeouts;
  private final QueueForecast forecast;
  private final PriorityUsage usage;
  private final GuaranteedShares guarantees;
  private final CrashCheck crashCheck;
  private final DelayedRecheck recheck;

  BatchQueue(String service, BatchContext context, EventLoop loop) {
    this.service = service;
    this.context = context;
    this.loop = loop;
    this.resultMemory = new ResultMemory(context.clock(), context.loads());
    this.upstreams = new BatchUpstreams(service, context, resultMemory);
    PieceRetries retries = new PieceRetries(service, context);
    this.resultHandler =
        new BatchResultHandler(context, waiting, resultMemory, retries, this::endGroup);
    this.timeouts = new CallTimeouts(service, context, retries, loop);
    this.recheck = new DelayedRecheck(loop, this::dispatch);
    this.crashCheck = new CrashCheck(context.livenessChecker(), loop);
    this.guarantees = new GuaranteedShares(context.clock());
    this.forecast = new QueueForecast(service, context, waiting, upstreams, guarantees);
    this.usage = new PriorityUsage(service, context);
  }

  void submit(StageGroup group, StageWorkListener listener) {
    GroupInProgress progress =
        new GroupInProgress(
            group, context.zoneOfInputs(group), context.box(), context.clock().nanos(), listener);
    BatchLimits limits = context.limits(service).orElse(null);
    if (limits == null || forecast.isUnreachableFirstGroup(progress, limits)) {
      usage.recordUnserved(progress, PieceOutcome.REJECTED);
      endGroup(progress, StageOutcome.LATE);
      return;
    }
    forecast.recordArrival(group);
    waiting.add(progress);
    dispatch();
  }

  void expireResults() {
    resultMemory.expire();
  }

  void cancel(String requestId) {
    waiting.cancel(requestId);
  }

  /** Returns the upstream incarnation that stores a result, if this queue made the call. */
  Optional<String> incarnationOf(String handle) {
    return resultMemory.incarnationOf(handle);
  }

  void onReleased(Collection<String> handles) {
    resultMemory.remove(handles);
    dispatch();
  }

  /** Returns the expected time to process the pieces of this priority or a more urgent one. */
  long backlogMillis(int priority) {
    return forecast.backlogMillis(priority);
  }

  /** Starts calls while there are waiting pieces and free upstreams. */
  void dispatch() {
    Optional<BatchLimits> limits = context.limits(service);
    if (waiting.isEmpty() || limits.isEmpty()) {
      usage.recordIdle(List.of());
      return;
    }
    long now = context.clock().nanos();
    double shortest = limits.get().expectedMillis(1);
    waiting.removeExpired(shortest, now).forEach(this::expire);
    forecast.refillGuarantees(limits.get());
    waiting.sort(shortest, guarantees, now);
    boolean callStarted = true;
    while (callStarted && !waiting.isEmpty()) {
      callStarted = callNext(limits.get(), now);
    }
    if (!waiting.isEmpty()) {
      recheck.schedule();
    }
    recordIdleUpstreams(limits.get(), now);
  }

  private void recordIdleUpstreams(BatchLimits limits, long now) {
    usage.recordIdle(waiting.isEmpty() ? List.of() : upstreams.idleCauses(waiting, limits, now));
  }

  private void expire(GroupInProgress group) {
    usage.recordUnserved(group, PieceOutcome.EXPIRED);
    endGroup(group, StageOutcome.LATE);
  }

  private boolean callNext(BatchLimits limits, long now) {
    int items = Math.min(waiting.size(), limits.maxItemsPerCall());
    List<BatchUpstream> candidates = upstreams.candidates(limits, items, now);
    if (candidates.isEmpty()) {
      return false;
    }
    ZoneAffinity affinity = upstreams.zoneAffinity(waiting, limits, now);
    return candidates.stream().anyMatch(each -> tryCall(each, affinity, limits, now));
  }

  private boolean tryCall(
      BatchUpstream target, ZoneAffinity affinity, BatchLimits limits, long now) {
    List<StagePiece> batch = takeBatch(target, affinity, limits);
    if (batch.isEmpty()) {
      return false;
    }
    batch.forEach(piece -> recordStarted(piece, target, now));
    BatchCall call = new BatchCall(target, batch, limits, now, this);
    double expected = target.expectedMillis(limits, batch.size());
    recordUnfilledPlaces(call, now);
    target.callStarted(call.resultBytes(), expected, now);
    context.loads().recordStart(target.upstream(), call.resultBytes());
    context.sendLimiter().recordSent(target.upstream());
    List<CallItem> items =
        batch.stream()
            .map(
                piece ->
                    new CallItem(
                        piece.group().group(), piece.index(), piece.group().remainingMillis(now)))
            .toList();
    CancellableCall upstreamCall =
        context
            .caller()
            .call(target.upstream(), context.protocol().encodeCall(target.upstream(), items), call);
    timeouts.start(call, upstreamCall, expected);
    return true;
  }

  /**
   * Takes what fits into the free memory of an upstream. One that stores nothing also gets a single
   * larger piece, as only the upstream knows whether it has memory for it.
   */
  private List<StagePiece> takeBatch(
      BatchUpstream target, ZoneAffinity affinity, BatchLimits limits) {
    Predicate<GroupInProgress> eligible = affinity.eligibleIn(target.upstream().zone());
    List<StagePiece> batch =
        waiting.takeBatch(limits.maxItemsPerCall(), upstreams.freeBytes(target, limits), eligible);
    return batch.isEmpty() && upstreams.storesNothing(target)
        ? waiting.takeBatch(1, Long.MAX_VALUE, eligible)
        : batch;
  }

  private void recordStarted(StagePiece piece, BatchUpstream target, long now) {
    GroupInProgress group = piece.group();
    group.recordCall(target.upstream().zone(), now);
    forecast.recordStarted(group);
  }

  private void recordUnfilledPlaces(BatchCall call, long now) {
    BatchLimits limits = call.limits();
    int places = limits.maxItemsPerCall() - call.pieces().size();
    if (places > 0 && !waiting.isEmpty()) {
      long freeBytes = upstreams.freeBytes(call.target(), limits) - call.resultBytes();
      ZoneAffinity affinity = upstreams.zoneAffinity(waiting, limits, now);
      usage.recordUnfilled(
          upstreams.unfilledCause(call.target(), freeBytes, waiting, affinity), places);
    }
  }

  @Override
  public void onCallSent(BatchCall call) {
    double fixedMillis = call.target().expectedMillis(call.limits(), 0);
    long fetchMillis = (long) (fixedMillis * INPUT_FETCH_SHARE);
    loop.schedule(call::inputsFetched, fetchMillis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void onCallAnswered(BatchCall call, int status, byte[] body) {
    recordCallEnd(call);
    if (status == HTTP_OK) {
      context
          .protocol()
          .decodeAnswer(body, call.pieces().size())
          .peek(results -> handleResults(call, results))
          .peekLeft(reason -> retry(call, true, reason));
    } else if (status == HTTP_UNAVAILABLE) {
      pauseFullUpstream(call);
      retry(call, true, "full");
    } else {
      context.loads().recordFailure(call.target().upstream(), false, "status " + status);
      retry(call, true, "status " + status);
    }
    dispatch();
  }

  @Override
  public void onCallFailed(BatchCall call, Optional<CallFailure> failure) {
    recordCallEnd(call);
    boolean sent = failure.map(CallFailure::isRequestSent).orElse(true);
    if (!sent) {
      call.target().pauseAfterUnsentCall(context.clock().nanos());
    }
    String reason = failure.map(CallFailure::name).orElse("no answer in time");
    if (failure.filter(CallFailure.NO_CONNECTION_FREE::equals).isPresent()) {
      pauseFullUpstream(call);
    } else if (failure.map(CallFailure::isUpstreamFault).orElse(true)) {
      context.loads().recordFailure(call.target().upstream(), !sent || failure.isEmpty(), reason);
    }
    if (failure.filter(CallFailure.BROKEN::equals).isPresent()) {
      crashCheck.check(call, () -> retryAndDispatch(call, sent, reason));
    } else {
      retryAndDispatch(call, sent, reason);
    }
  }

  private void retryAndDispatch(BatchCall call, boolean sent, String reason) {
    retry(call, sent, reason);
    dispatch();
  }

  /** Pauses a full upstream for about the time in which one of its calls ends. */
  private void pauseFullUpstream(BatchCall call) {
    long millis = (long) (call.limits().expectedMillis(1) * FULL_PAUSE_SHARE);
    context.loads().avoidFor(call.target().upstream(), millis);
  }

  private void recordCallEnd(BatchCall call) {
    call.writeEvent(context.events(), service, waiting.size(), context.clock().nanos());
    call.target().callEnded(call.resultBytes());
    usage.report(waiting, upstreams);
    context.loads().recordEnd(call.target().upstream(), call.resultBytes());
  }

  private void handleResults(BatchCall call, List<PieceResult> results) {
    double millis = (context.clock().nanos() - call.startNanos()) / 1e6;
    if (results.stream().allMatch(result -> result.kind() == PieceResult.Kind.MADE)) {
      call.recordSpeed(millis);
    }
    context.loads().recordSuccess(call.target().upstream(), millis);
    usage.recordCall(call, millis);
    resultHandler.handle(call, results);
  }

  private void retry(BatchCall call, boolean sent, String reason) {
    resultHandler.retry(call.pieces(), sent, reason, call.target().upstream());
  }

  private void endGroup(GroupInProgress group, StageOutcome outcome) {
    context.release(group.unusedHandles());
    group.fail(outcome, backlogMillis(group.group().priority()));
  }
}
