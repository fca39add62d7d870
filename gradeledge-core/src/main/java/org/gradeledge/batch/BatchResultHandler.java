package org.gradeledge.batch;

import java.util.List;
import java.util.function.BiConsumer;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.quarantine.Quarantine;

/**
 * Hands the results of calls to the groups of their pieces, and returns pieces without a result to
 * the queue as far as the retry budget allows. Confined to the event loop.
 */
final class BatchResultHandler {

  private final BatchContext context;
  private final WaitingPieces waiting;
  private final ResultMemory resultMemory;
  private final PieceRetries retries;
  private final BiConsumer<GroupInProgress, StageOutcome> endGroup;

  /**
   * Creates a handler.
   *
   * @param endGroup ends a group without a result
   */
  BatchResultHandler(
      BatchContext context,
      WaitingPieces waiting,
      ResultMemory resultMemory,
      PieceRetries retries,
      BiConsumer<GroupInProgress, StageOutcome> endGroup) {
    this.context = context;
    this.waiting = waiting;
    this.resultMemory = resultMemory;
    this.retries = retries;
    this.endGroup = endGroup;
  }

  /** Handles the results of an answered call, one for each of its pieces. */
  void handle(BatchCall call, List<PieceResult> results) {
    for (int i = 0; i < results.size(); i++) {
      handle(call, call.pieces().get(i), results.get(i));
    }
  }

  private void handle(BatchCall call, StagePiece piece, PieceResult result) {
    UpstreamRecord upstream = call.target().upstream();
    switch (result.kind()) {
      case MADE -> completePiece(piece, result.handle().orElseThrow(), upstream, call.limits());
      case LATE -> endGroup.accept(piece.group(), StageOutcome.LATE);
      case GONE -> endGroup.accept(piece.group(), StageOutcome.GONE);
      case NO_ROOM -> {
        resultMemory.markFull(upstream.incarnationId());
        retry(List.of(piece), true, "no room", upstream);
      }
      case ERROR -> retry(List.of(piece), true, "error", upstream);
      default -> throw new IllegalStateException("Unsupported result kind: " + result.kind());
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

  /** Returns pieces to the queue, or ends their groups if the retry budget is spent. */
  void retry(List<StagePiece> pieces, boolean sent, String reason, UpstreamRecord upstream) {
    pieces.stream()
        .map(StagePiece::group)
        .filter(group -> group.crashCount() >= Quarantine.CRASHES_TO_QUARANTINE)
        .forEach(group -> endGroup.accept(group, StageOutcome.FAILED));
    List<StagePiece> unfinished =
        pieces.stream().filter(piece -> !piece.group().hasEnded()).toList();
    if (retries.tryAcquire(unfinished, sent, reason, upstream)) {
      waiting.addAll(unfinished);
    } else {
      unfinished.forEach(piece -> endGroup.accept(piece.group(), StageOutcome.FAILED));
    }
  }
}
