package org.gradeledge.batch;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.UpstreamCall;
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
  private static final double LIMIT_FACTOR = 2.5;
  private static final long LIMIT_EXTRA_MILLIS = 400;
  private static final double FULL_PART_OF_CALL = 0.6;

  /**
   * An upstream fetches inputs as soon as a call's turn comes, which is at once where it is free. A
   * part of the fixed time of a call, so that a slow upstream gets longer.
   */
  private static final double FETCHING_PART_OF_CALL = 0.5;

  private final String service;
  private final BatchServices services;
  private final EventLoop loop;
  private final WaitingPieces waiting = new WaitingPieces();
  private final HeldResults held;
  private final BatchUpstreams upstreams;
  private final PieceRetries retries;
  private final QueueForecast forecast;
  private final BrokenCalls broken;
  private final DelayedLook lookAgain;

  BatchQueue(String service, BatchServices services, EventLoop loop) {
    this.service = service;
    this.services = services;
    this.loop = loop;
    this.held = new HeldResults(services.clock(), services.board());
    this.upstreams = new BatchUpstreams(service, services, held);
    this.retries = new PieceRetries(service, services);
    this.lookAgain = new DelayedLook(loop, this::dispatch);
    this.broken = new BrokenCalls(services.ends(), loop);
    this.forecast = new QueueForecast(service, services, waiting, upstreams);
  }

  void submit(StageGroup group, StageWorkListener listener) {
    GroupInProgress started =
        new GroupInProgress(
            group,
            services.zoneOfInputs(group),
            services.box(),
            services.clock().nanos(),
            listener);
    BatchLimits limits = services.limits(service).orElse(null);
    if (limits == null || forecast.firstAndTooLate(started, limits)) {
      end(started, StageOutcome.LATE);
      return;
    }
    forecast.arrived(group);
    waiting.add(started);
    dispatch();
  }

  void expireResults() {
    held.expire();
  }

  void cancel(String requestId) {
    waiting.cancel(requestId);
  }

  /** Returns which start of an upstream holds a result, if it is known here. */
  Optional<String> makerOf(String handle) {
    return held.makerOf(handle);
  }

  void freed(Collection<String> handles) {
    held.remove(handles);
    dispatch();
  }

  /** Returns how long what is as urgent as a priority or more keeps the upstreams busy. */
  long backlogMillis(int priority) {
    return forecast.backlogMillis(priority);
  }

  /** Makes calls as long as there are pieces and upstreams that are free. */
  void dispatch() {
    Optional<BatchLimits> limits = services.limits(service);
    if (waiting.isEmpty() || limits.isEmpty()) {
      return;
    }
    long now = services.clock().nanos();
    double shortest = limits.get().expectedMillis(1);
    waiting.takeLate(shortest, now).forEach(group -> end(group, StageOutcome.LATE));
    waiting.sort(shortest, now);
    boolean called = true;
    while (called && !waiting.isEmpty()) {
      called = callOne(limits.get(), now);
    }
    if (!waiting.isEmpty()) {
      lookAgain.schedule();
    }
  }

  private boolean callOne(BatchLimits limits, long now) {
    int items = Math.min(waiting.size(), limits.maxItemsPerCall());
    return upstreams.worthCalling(limits, items, now).stream()
        .anyMatch(each -> call(each, limits, now));
  }

  private boolean call(BatchUpstream target, BatchLimits limits, long now) {
    List<StagePiece> chosen =
        waiting.take(
            limits.maxItemsPerCall(),
            upstreams.roomBytes(target, limits),
            upstreams.suiting(target, limits, now));
    if (chosen.isEmpty()) {
      return false;
    }
    chosen.forEach(piece -> piece.group().called(target.upstream().zone(), now));
    BatchCall call = new BatchCall(target, chosen, limits, now, this);
    double expected = target.expectedMillis(limits, chosen.size());
    target.started(call.resultBytes(), expected, now);
    services.board().started(target.upstream(), call.resultBytes());
    services.sending().sent(target.upstream());
    List<CallItem> items =
        chosen.stream()
            .map(p -> new CallItem(p.group().group(), p.index(), p.group().leftMillis(now)))
            .toList();
    UpstreamCall running =
        services
            .caller()
            .call(
                target.upstream(), services.protocol().encodeCall(target.upstream(), items), call);
    long limit = (long) (expected * LIMIT_FACTOR) + LIMIT_EXTRA_MILLIS;
    loop.schedule(() -> giveUp(call, running), limit, TimeUnit.MILLISECONDS);
    return true;
  }

  private static void giveUp(BatchCall call, UpstreamCall running) {
    if (!call.isOver()) {
      running.cancel();
      call.timedOut();
    }
  }

  @Override
  public void sent(BatchCall call) {
    double fixed = call.target().expectedMillis(call.limits(), 0);
    long fetched = (long) (fixed * FETCHING_PART_OF_CALL);
    loop.schedule(call::inputsTaken, fetched, TimeUnit.MILLISECONDS);
  }

  @Override
  public void answered(BatchCall call, int status, byte[] body) {
    ended(call);
    if (status == HTTP_OK) {
      services
          .protocol()
          .decodeAnswer(body, call.pieces().size())
          .peek(results -> take(call, results))
          .peekLeft(why -> tryAgain(call, true, why));
    } else if (status == HTTP_UNAVAILABLE) {
      pauseFull(call);
      tryAgain(call, true, "full");
    } else {
      services.board().failed(call.target().upstream(), false, "status " + status);
      tryAgain(call, true, "status " + status);
    }
    dispatch();
  }

  @Override
  public void failed(BatchCall call, Optional<CallFailure> failure) {
    ended(call);
    boolean sent = failure.map(CallFailure::sent).orElse(true);
    String why = failure.map(CallFailure::name).orElse("no answer in time");
    if (failure.filter(CallFailure.NO_CONNECTION_FREE::equals).isPresent()) {
      pauseFull(call);
    } else if (failure.map(CallFailure::blamesUpstream).orElse(true)) {
      services.board().failed(call.target().upstream(), !sent || failure.isEmpty(), why);
    }
    if (failure.filter(CallFailure.BROKEN::equals).isPresent()) {
      broken.look(call, () -> tryAgainAndDispatch(call, sent, why));
    } else {
      tryAgainAndDispatch(call, sent, why);
    }
  }

  private void tryAgainAndDispatch(BatchCall call, boolean sent, String why) {
    tryAgain(call, sent, why);
    dispatch();
  }

  /** What keeps an upstream full is calls, of which one ends within the time of a call. */
  private void pauseFull(BatchCall call) {
    long millis = (long) (call.limits().expectedMillis(1) * FULL_PART_OF_CALL);
    services.board().pause(call.target().upstream(), millis);
  }

  private void ended(BatchCall call) {
    call.tell(services.events(), service, waiting.size(), services.clock().nanos());
    call.target().ended(call.resultBytes());
    services.board().ended(call.target().upstream(), call.resultBytes());
  }

  private void take(BatchCall call, List<PieceResult> results) {
    double millis = (services.clock().nanos() - call.startNanos()) / 1e6;
    BatchLimits limits = call.limits();
    if (results.stream().allMatch(result -> result.kind() == PieceResult.Kind.MADE)) {
      call.target().measured(millis / limits.expectedMillis(call.pieces().size()));
    }
    services.board().succeeded(call.target().upstream(), millis);
    for (int i = 0; i < results.size(); i++) {
      take(call, call.pieces().get(i), results.get(i), limits);
    }
  }

  private void take(BatchCall call, StagePiece piece, PieceResult result, BatchLimits limits) {
    UpstreamRecord upstream = call.target().upstream();
    switch (result.kind()) {
      case MADE -> made(piece, result.handle().orElseThrow(), upstream, limits);
      case LATE -> end(piece.group(), StageOutcome.LATE);
      case GONE -> end(piece.group(), StageOutcome.GONE);
      case NO_ROOM -> {
        held.full(upstream.start());
        tryAgain(List.of(piece), true, "no room", upstream);
      }
      case ERROR -> tryAgain(List.of(piece), true, "error", upstream);
      default -> throw new IllegalStateException("unknown result " + result.kind());
    }
  }

  private void made(StagePiece piece, String handle, UpstreamRecord upstream, BatchLimits limits) {
    GroupInProgress group = piece.group();
    if (group.isOver()) {
      services.free(List.of(handle));
      return;
    }
    held.add(handle, upstream.start(), group.group().resultBytes(), limits.resultRetentionMillis());
    group.made(piece.index(), handle);
  }

  private void tryAgain(BatchCall call, boolean sent, String why) {
    tryAgain(call.pieces(), sent, why, call.target().upstream());
  }

  private void tryAgain(List<StagePiece> pieces, boolean sent, String why, UpstreamRecord from) {
    pieces.stream()
        .map(StagePiece::group)
        .filter(group -> group.endedUpstreams() >= Quarantine.ENDS_OF_VERDICT)
        .forEach(group -> end(group, StageOutcome.FAILED));
    List<StagePiece> wanted = pieces.stream().filter(piece -> !piece.group().isOver()).toList();
    if (retries.allowed(wanted, sent, why, from)) {
      waiting.addAll(wanted);
    } else {
      wanted.forEach(piece -> end(piece.group(), StageOutcome.FAILED));
    }
  }

  private void end(GroupInProgress group, StageOutcome outcome) {
    services.free(group.leftOver());
    group.fail(outcome, backlogMillis(group.group().priority()));
  }
}
