package org.gradeledge.batch;

import java.util.List;
import java.util.stream.Collectors;
import org.gradeledge.discovery.UpstreamRecord;

/** Decides whether the pieces of a failed call are retried. Confined to the event loop. */
final class PieceRetries {

  private final String service;
  private final BatchContext context;

  PieceRetries(String service, BatchContext context) {
    this.service = service;
    this.context = context;
  }

  /** Returns whether pieces that were sent to an upstream may be retried now. */
  boolean mayAcquire(List<StagePiece> pieces) {
    return context.retryBudget().allows(service, pieces.size());
  }

  /**
   * Returns whether pieces may be retried and logs the failure. Pieces that were sent to an
   * upstream consume the retry budget.
   */
  boolean tryAcquire(
      List<StagePiece> pieces, boolean sent, String reason, UpstreamRecord upstream) {
    boolean allowed = !sent || context.retryBudget().trySpend(service, pieces.size());
    context
        .events()
        .problem("pieces-failed")
        .with("service", service)
        .with("upstream", upstream.id())
        .with("why", reason)
        .with("pieces", pieces.size())
        .with("again", allowed ? "yes" : "no, retry budget spent")
        .with("requests", requestIds(pieces))
        .write();
    return allowed;
  }

  private static String requestIds(List<StagePiece> pieces) {
    return pieces.stream()
        .map(piece -> piece.group().group().requestId())
        .distinct()
        .collect(Collectors.joining(","));
  }
}
