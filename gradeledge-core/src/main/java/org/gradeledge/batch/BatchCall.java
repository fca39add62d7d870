package org.gradeledge.batch;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.CallListener;
import org.gradeledge.connection.ConnectionUse;
import org.gradeledge.connection.ResponseBuffer;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.event.EventLog;

/**
 * A call to an upstream for a batch of pieces, which collects the response. Confined to the event
 * loop.
 */
final class BatchCall implements CallListener {

  /** Receives the events of a call. */
  interface Listener {

    /** Called when the request was handed to an open connection. */
    void onCallSent(BatchCall call);

    /** Called when the response is complete. */
    void onCallAnswered(BatchCall call, int status, byte[] body);

    /**
     * Called when the call ended without a complete response; the failure is empty on a timeout.
     */
    void onCallFailed(BatchCall call, Optional<CallFailure> failure);
  }

  private static final int MAX_ANSWER_BYTES = 1024 * 1024;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long BYTES_PER_KILOBYTE = 1024;

  private final BatchUpstream target;
  private final List<StagePiece> pieces;
  private final BatchLimits limits;
  private final long startNanos;
  private final Listener listener;
  private final ResponseBuffer body = new ResponseBuffer(MAX_ANSWER_BYTES);
  private int status;
  private long timeoutMillis = Long.MAX_VALUE;
  private boolean overdue;
  private boolean finished;

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
   * Logs the completed call.
   *
   * @param waitingAfter number of pieces that wait for the next call
   */
  void writeEvent(EventLog events, String service, int waitingAfter, long nowNanos) {
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
        .with("ms", (nowNanos - startNanos) / NANOS_PER_MILLI)
        .with("kb", resultBytes() / BYTES_PER_KILOBYTE)
        .with("first-priority", first.priority())
        .write();
  }

  private long longestWaitMillis() {
    return pieces.stream()
        .mapToLong(piece -> piece.group().waitedMillis(startNanos))
        .max()
        .orElse(0);
  }

  /**
   * Records that the upstream has fetched the inputs of the pieces, unless the call has finished.
   */
  void inputsFetched() {
    if (!finished) {
      pieces.forEach(piece -> piece.group().inputsFetched(piece.index()));
    }
  }

  /** Sets the time after which the call counts as overdue. */
  void setTimeoutMillis(long millis) {
    timeoutMillis = millis;
  }

  /** Records that the call is overdue and goes on. */
  void markOverdue() {
    overdue = true;
  }

  /**
   * Updates the estimated speed of the upstream. A call that lasted longer than its timeout without
   * being found overdue says nothing of it, as this box was paused meanwhile.
   */
  void recordSpeed(double millis) {
    if (overdue || millis <= timeoutMillis) {
      target.recordSlowdown(millis / limits.expectedMillis(pieces.size()));
    }
  }

  void onTimeout() {
    finish(() -> listener.onCallFailed(this, Optional.empty()));
  }

  boolean isFinished() {
    return finished;
  }

  @Override
  public void onSent(ConnectionUse use) {
    listener.onCallSent(this);
  }

  @Override
  public void onHead(int responseStatus, HttpHeaders headers) {
    status = responseStatus;
  }

  @Override
  public void onContent(ByteBuf content) {
    body.add(content);
  }

  @Override
  public void onComplete() {
    finish(() -> listener.onCallAnswered(this, status, body.toByteArray()));
  }

  @Override
  public void onFailure(CallFailure failure) {
    finish(() -> listener.onCallFailed(this, Optional.of(failure)));
  }

  private void finish(Runnable action) {
    if (!finished) {
      finished = true;
      action.run();
    }
  }
}
