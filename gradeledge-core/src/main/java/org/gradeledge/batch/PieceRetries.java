package org.gradeledge.batch;

import java.util.List;
import java.util.stream.Collectors;
import org.gradeledge.discovery.UpstreamRecord;

/** Decides whether pieces that a call did not make are made again. Confined to the event loop. */
final class PieceRetries {

  private final String service;
  private final BatchContext context;

  PieceRetries(String service, BatchContext services) {
    this.service = service;
    this.context = services;
  }

  /**
   * Returns whether pieces may be made again; what reached an upstream draws on the retry budget.
   */
  boolean tryAcquire(List<StagePiece> pieces, boolean sent, String why, UpstreamRecord from) {
    boolean allowed = !sent || context.retryBudget().trySpend(service, pieces.size());
    context
        .events()
        .problem("pieces-failed")
        .with("service", service)
        .with("upstream", from.id())
        .with("why", why)
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
