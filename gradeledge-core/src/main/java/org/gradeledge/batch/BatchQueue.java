package org.gradeledge.batch;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.CancellableCall;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.quarantine.Quarantine;

/**
 * The pieces that wait for one service, and the calls that make them. An upstream that is free gets
 * a call at once with as many of the most urgent pieces as it takes; while all are busy the queue
 * grows, and with it the calls. Confined to the event loop.
 */
final class BatchQueue implements BatchCall.Listener {

  private static final int HTTP_OK = 200;
  private static final int HTTP_UNAVAILABLE = 503;
  private static final double TIMEOUT_FACTOR = 2.5;
  private static final long TIMEOUT_EXTRA_MILLIS = 400;
  private static final double FULL_PAUSE_SHARE = 0.6;

  /**
   * An upstream fetches inputs as soon as a call's turn comes, which is at once where it is free. A
   * part of the fixed time of a call, so that a slow upstream gets longer.
   */
  private static final double INPUT_FETCH_SHARE = 0.5;

  private final String service;
  private final BatchContext context;
  private final EventLoop loop;
  private final WaitingPieces waiting = new WaitingPieces();
  private final ResultMemory resultMemory;
  private final BatchUpstreams upstreams;
  private final PieceRetries retries;
  private final QueueForecast forecast;
  private final CrashCheck crashCheck;
  private final DelayedRecheck recheck;

  BatchQueue(String service, BatchContext services, EventLoop loop) {
    this.service = service;
    this.context = services;
    this.loop = loop;
    this.resultMemory = new ResultMemory(services.clock(), services.loads());
    this.upstreams = new BatchUpstreams(service, services, resultMemory);
    this.retries = new PieceRetries(service, services);
    this.recheck = new DelayedRecheck(loop, this::dispatch);
    this.crashCheck = new CrashCheck(services.livenessChecks(), loop);
    this.forecast = new QueueForecast(service, services, waiting, upstreams);
  }

  void submit(StageGroup group, StageWorkListener listener) {
    GroupInProgress started =
        new GroupInProgress(
            group, context.zoneOfInputs(group), context.box(), context.clock().nanos(), listener);
    BatchLimits limits = context.limits(service).orElse(null);
    if (limits == null || forecast.isUnreachableFirstGroup(started, limits)) {
      endGroup(started, StageOutcome.LATE);
      return;
    }
    forecast.recordArrival(group);
    waiting.add(started);
    dispatch();
  }

  void expireResults() {
    resultMemory.expire();
  }

  void cancel(String requestId) {
    waiting.cancel(requestId);
  }

  /** Returns which start of an upstream holds a result, if it is known here. */
  Optional<String> incarnationOf(String handle) {
    return resultMemory.incarnationOf(handle);
  }

  void onReleased(Collection<String> handles) {
    resultMemory.remove(handles);
    dispatch();
  }

  /** Returns how long what is as urgent as a priority or more keeps the upstreams busy. */
  long backlogMillis(int priority) {
    return forecast.backlogMillis(priority);
  }

  /** Makes calls as long as there are pieces and upstreams that are free. */
  void dispatch() {
    Optional<BatchLimits> limits = context.limits(service);
    if (waiting.isEmpty() || limits.isEmpty()) {
      return;
    }
    long now = context.clock().nanos();
    double shortest = limits.get().expectedMillis(1);
    waiting.removeExpired(shortest, now).forEach(group -> endGroup(group, StageOutcome.LATE));
    waiting.sort(shortest, now);
    boolean called = true;
    while (called && !waiting.isEmpty()) {
      called = callNext(limits.get(), now);
    }
    if (!waiting.isEmpty()) {
      recheck.schedule();
    }
  }

  private boolean callNext(BatchLimits limits, long now) {
    int items = Math.min(waiting.size(), limits.maxItemsPerCall());
    return upstreams.candidates(limits, items, now).stream()
        .anyMatch(each -> tryCall(each, limits, now));
  }

  private boolean tryCall(BatchUpstream target, BatchLimits limits, long now) {
    List<StagePiece> chosen =
        waiting.takeBatch(
            limits.maxItemsPerCall(),
            upstreams.freeBytes(target, limits),
            upstreams.eligibility(target, limits, now));
    if (chosen.isEmpty()) {
      return false;
    }
    chosen.forEach(piece -> piece.group().recordCall(target.upstream().zone(), now));
    BatchCall call = new BatchCall(target, chosen, limits, now, this);
    double expected = target.expectedMillis(limits, chosen.size());
    target.callStarted(call.resultBytes(), expected, now);
    context.loads().recordStart(target.upstream(), call.resultBytes());
    context.sendingRule().recordSent(target.upstream());
    List<CallItem> items =
        chosen.stream()
            .map(p -> new CallItem(p.group().group(), p.index(), p.group().remainingMillis(now)))
            .toList();
    CancellableCall running =
        context
            .caller()
            .call(target.upstream(), context.protocol().encodeCall(target.upstream(), items), call);
    long limit = (long) (expected * TIMEOUT_FACTOR) + TIMEOUT_EXTRA_MILLIS;
    loop.schedule(() -> timeOut(call, running), limit, TimeUnit.MILLISECONDS);
    return true;
  }

  private static void timeOut(BatchCall call, CancellableCall running) {
    if (!call.isFinished()) {
      running.cancel();
      call.onTimeout();
    }
  }

  @Override
  public void onCallSent(BatchCall call) {
    double fixed = call.target().expectedMillis(call.limits(), 0);
    long fetched = (long) (fixed * INPUT_FETCH_SHARE);
    loop.schedule(call::inputsFetched, fetched, TimeUnit.MILLISECONDS);
  }

  @Override
  public void onCallAnswered(BatchCall call, int status, byte[] body) {
    recordCallEnd(call);
    if (status == HTTP_OK) {
      context
          .protocol()
          .decodeAnswer(body, call.pieces().size())
          .peek(results -> handleResults(call, results))
          .peekLeft(why -> retry(call, true, why));
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
    String why = failure.map(CallFailure::name).orElse("no answer in time");
    if (failure.filter(CallFailure.NO_CONNECTION_FREE::equals).isPresent()) {
      pauseFullUpstream(call);
    } else if (failure.map(CallFailure::isUpstreamFault).orElse(true)) {
      context.loads().recordFailure(call.target().upstream(), !sent || failure.isEmpty(), why);
    }
    if (failure.filter(CallFailure.BROKEN::equals).isPresent()) {
      crashCheck.check(call, () -> retryAndDispatch(call, sent, why));
    } else {
      retryAndDispatch(call, sent, why);
    }
  }

  private void retryAndDispatch(BatchCall call, boolean sent, String why) {
    retry(call, sent, why);
    dispatch();
  }

  /** What keeps an upstream full is calls, of which one ends within the time of a call. */
  private void pauseFullUpstream(BatchCall call) {
    long millis = (long) (call.limits().expectedMillis(1) * FULL_PAUSE_SHARE);
    context.loads().avoidFor(call.target().upstream(), millis);
  }

  private void recordCallEnd(BatchCall call) {
    call.writeEvent(context.events(), service, waiting.size(), context.clock().nanos());
    call.target().callEnded(call.resultBytes());
    context.loads().recordEnd(call.target().upstream(), call.resultBytes());
  }

  private void handleResults(BatchCall call, List<PieceResult> results) {
    double millis = (context.clock().nanos() - call.startNanos()) / 1e6;
    BatchLimits limits = call.limits();
    if (results.stream().allMatch(result -> result.kind() == PieceResult.Kind.MADE)) {
      call.target().recordSlowdown(millis / limits.expectedMillis(call.pieces().size()));
    }
    context.loads().recordSuccess(call.target().upstream(), millis);
    for (int i = 0; i < results.size(); i++) {
      handleResults(call, call.pieces().get(i), results.get(i), limits);
    }
  }

  private void handleResults(
      BatchCall call, StagePiece piece, PieceResult result, BatchLimits limits) {
    UpstreamRecord upstream = call.target().upstream();
    switch (result.kind()) {
      case MADE -> completePiece(piece, result.handle().orElseThrow(), upstream, limits);
      case LATE -> endGroup(piece.group(), StageOutcome.LATE);
      case GONE -> endGroup(piece.group(), StageOutcome.GONE);
      case NO_ROOM -> {
        resultMemory.markFull(upstream.incarnationId());
        retry(List.of(piece), true, "no room", upstream);
      }
      case ERROR -> retry(List.of(piece), true, "error", upstream);
      default -> throw new IllegalStateException("unknown result " + result.kind());
    }
  }

  private void completePiece(
      StagePiece piece, String handle, UpstreamRecord upstream, BatchLimits limits) {
    GroupInProgress group = piece.group();
    if (group.hasEnded()) {
      context.release(List.of(handle));
      return;
    }
    resultMemory.add(
        handle, upstream.incarnationId(), group.group().resultBytes(), limits.retentionMillis());
    group.pieceCompleted(piece.index(), handle);
  }

  private void retry(BatchCall call, boolean sent, String why) {
    retry(call.pieces(), sent, why, call.target().upstream());
  }

  private void retry(List<StagePiece> pieces, boolean sent, String why, UpstreamRecord from) {
    pieces.stream()
        .map(StagePiece::group)
        .filter(group -> group.crashCount() >= Quarantine.CRASHES_TO_QUARANTINE)
        .forEach(group -> endGroup(group, StageOutcome.FAILED));
    List<StagePiece> wanted = pieces.stream().filter(piece -> !piece.group().hasEnded()).toList();
    if (retries.tryAcquire(wanted, sent, why, from)) {
      waiting.addAll(wanted);
    } else {
      wanted.forEach(piece -> endGroup(piece.group(), StageOutcome.FAILED));
    }
  }

  private void endGroup(GroupInProgress group, StageOutcome outcome) {
    context.release(group.unusedHandles());
    group.fail(outcome, backlogMillis(group.group().priority()));
  }
}
