package org.gradeledge.batch;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gradeledge.connection.CancellableCall;

/**
 * Gives up calls that take much longer than expected, once their pieces may be computed again: the
 * upstream may only pause, so that a call without a replacement goes on while its results are of
 * use. Confined to the event loop.
 */
final class CallTimeouts {

  private static final double TIMEOUT_FACTOR = 2.5;
  private static final long TIMEOUT_EXTRA_MILLIS = 400;
  private static final long RECHECK_MILLIS = 400;

  private final String service;
  private final BatchContext context;
  private final PieceRetries retries;
  private final EventLoop loop;

  CallTimeouts(String service, BatchContext context, PieceRetries retries, EventLoop loop) {
    this.service = service;
    this.context = context;
    this.retries = retries;
    this.loop = loop;
  }

  /** Starts the timeout of a call with the given expected duration. */
  void start(BatchCall call, CancellableCall upstreamCall, double expectedMillis) {
    long timeoutMillis = (long) (expectedMillis * TIMEOUT_FACTOR) + TIMEOUT_EXTRA_MILLIS;
    call.setTimeoutMillis(timeoutMillis);
    schedule(call, upstreamCall, timeoutMillis);
  }

  private void schedule(BatchCall call, CancellableCall upstreamCall, long millis) {
    loop.schedule(() -> check(call, upstreamCall), millis, TimeUnit.MILLISECONDS);
  }

  private void check(BatchCall call, CancellableCall upstreamCall) {
    if (call.isFinished()) {
      return;
    }
    List<StagePiece> wanted = wantedPieces(call);
    if (wanted.isEmpty() || retries.mayAcquire(wanted)) {
      upstreamCall.cancel();
      call.onTimeout();
    } else {
      call.markOverdue();
      logOverdue(call);
      schedule(call, upstreamCall, RECHECK_MILLIS);
    }
  }

  private List<StagePiece> wantedPieces(BatchCall call) {
    long now = context.clock().nanos();
    return call.pieces().stream()
        .filter(piece -> !piece.group().hasEnded() && piece.group().remainingMillis(now) > 0)
        .toList();
  }

  private void logOverdue(BatchCall call) {
    context
        .events()
        .problem("stage-call-overdue")
        .with("service", service)
        .with("upstream", call.target().upstream().id())
        .with("pieces", call.pieces().size())
        .with("why", "goes on, retry budget spent")
        .write();
  }
}
