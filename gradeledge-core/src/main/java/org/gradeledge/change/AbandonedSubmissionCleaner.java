package org.gradeledge.change;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.gradeledge.platform.CommitResult;
import org.gradeledge.time.MonotonicClock;
import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Refuses submissions that stay staged for too long, since their submitter died or froze; the
 * staged row's revision keeps a submitter that wakes from accepting one. Not thread-safe.
 *
 * @since 0.1
 */
public final class AbandonedSubmissionCleaner {

  private final SubmissionStore store;
  private final Duration timeout;
  private final MonotonicClock clock;
  private final Map<String, Long> firstSeenNanos = new HashMap<>();

  AbandonedSubmissionCleaner(SubmissionStore store, Duration bound, MonotonicClock clock) {
    this.store = store;
    this.timeout = bound;
    this.clock = clock;
  }

  /** Takes in one read of the heads and refuses what has been staged for longer than the bound. */
  public Mono<Void> refuseExpired(ChangeHeads heads) {
    long now = clock.nanos();
    firstSeenNanos
        .keySet()
        .retainAll(heads.staged().values().stream().map(staged -> staged.record().id()).toList());
    heads
        .staged()
        .values()
        .forEach(staged -> firstSeenNanos.putIfAbsent(staged.record().id(), now));
    return Flux.fromIterable(heads.staged().values())
        .map(StagedHead::record)
        .filter(record -> now - firstSeenNanos.get(record.id()) >= timeout.toNanos())
        .concatMap(record -> refuse(record, heads))
        .then();
  }

  private Mono<Void> refuse(SubmissionRecord record, ChangeHeads heads) {
    return store
        .refuseStaged(
            record,
            heads.revision(StagedHead.rowKey(record.pipeline())),
            RefusalCause.ABANDONED,
            "its submitter gave no verdict in time")
        .filter(CommitResult::committed)
        .doOnNext(result -> Logger.warn("abandoned change refused: submission={}", record.id()))
        .then();
  }
}
