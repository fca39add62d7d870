package org.gradeledge.batch;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import org.gradeledge.connection.AnswerBody;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.CallListener;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.event.EventLog;

/** One call for a batch of pieces; gathers the answer. Confined to the event loop. */
final class BatchCall implements CallListener {

  /** Hears how the call goes. */
  interface Listener {

    /** The call was handed to an open connection. */
    void sent(BatchCall call);

    /** The upstream answered. */
    void answered(BatchCall call, int status, byte[] body);

    /** There is no whole answer. */
    void failed(BatchCall call, Optional<CallFailure> failure);
  }

  private static final int MOST_BYTES = 1024 * 1024;
  private static final long NANOS_OF_MILLI = 1_000_000;
  private static final long BYTES_OF_KILOBYTE = 1024;

  private final BatchUpstream target;
  private final List<StagePiece> pieces;
  private final BatchLimits limits;
  private final long startNanos;
  private final Listener listener;
  private final AnswerBody body = new AnswerBody(MOST_BYTES);
  private int status;
  private boolean over;

  BatchCall(
      BatchUpstream target,
      List<StagePiece> pieces,
      BatchLimits limits,
      long startNanos,
      Listener listener) {
    this.target = target;
    this.pieces = pieces;
    this.limits = limits;
    this.startNanos = startNanos;
    this.listener = listener;
  }

  BatchUpstream target() {
    return target;
  }

  List<StagePiece> pieces() {
    return pieces;
  }

  /** Returns the limits that held for the service when the call was made. */
  BatchLimits limits() {
    return limits;
  }

  long startNanos() {
    return startNanos;
  }

  long resultBytes() {
    return pieces.stream().mapToLong(piece -> piece.group().group().resultBytes()).sum();
  }

  /**
   * Tells how the call went.
   *
   * @param waitingAfter pieces that wait for the next call
   */
  void tell(EventLog events, String service, int waitingAfter, long nowNanos) {
    StageGroup first = pieces.get(0).group().group();
    events
        .step("stage-call")
        .with("service", service)
        .with("upstream", target.upstream().id())
        .with("status", status)
        .with("pieces", pieces.size())
        .with("most", limits.maxItemsPerCall())
        .with("waiting-after", waitingAfter)
        .with("waited-ms", longestWaitMillis())
        .with("expected-ms", (long) target.expectedMillis(limits, pieces.size()))
        .with("ms", (nowNanos - startNanos) / NANOS_OF_MILLI)
        .with("kb", resultBytes() / BYTES_OF_KILOBYTE)
        .with("first-priority", first.priority())
        .write();
  }

  private long longestWaitMillis() {
    return pieces.stream()
        .mapToLong(piece -> piece.group().waitedMillis(startNanos))
        .max()
        .orElse(0);
  }

  /** Notes that the upstream has fetched the inputs of the pieces, if it is still at work. */
  void inputsTaken() {
    if (!over) {
      pieces.forEach(piece -> piece.group().inputsTaken(piece.index()));
    }
  }

  void timedOut() {
    end(() -> listener.failed(this, Optional.empty()));
  }

  boolean isOver() {
    return over;
  }

  @Override
  public void onSent() {
    listener.sent(this);
  }

  @Override
  public void onHead(int answeredStatus, HttpHeaders headers) {
    status = answeredStatus;
  }

  @Override
  public void onContent(ByteBuf content) {
    if (!body.add(content)) {
      onFailure(CallFailure.GARBLED);
    }
  }

  @Override
  public void onComplete() {
    end(() -> listener.answered(this, status, body.bytes()));
  }

  @Override
  public void onFailure(CallFailure failure) {
    end(() -> listener.failed(this, Optional.of(failure)));
  }

  private void end(Runnable action) {
    if (!over) {
      over = true;
      action.run();
    }
  }
}
