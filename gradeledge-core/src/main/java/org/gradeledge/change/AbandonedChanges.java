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
public final class AbandonedChanges {

  private final SubmissionStore store;
  private final Duration bound;
  private final MonotonicClock clock;
  private final Map<String, Long> seenSince = new HashMap<>();

  AbandonedChanges(SubmissionStore store, Duration bound, MonotonicClock clock) {
    this.store = store;
    this.bound = bound;
    this.clock = clock;
  }

  /** Takes in one read of the heads and refuses what has been staged for longer than the bound. */
  public Mono<Void> observe(ChangeHeads heads) {
    long now = clock.nanos();
    seenSince
        .keySet()
        .retainAll(heads.staged().values().stream().map(staged -> staged.record().id()).toList());
    heads.staged().values().forEach(staged -> seenSince.putIfAbsent(staged.record().id(), now));
    return Flux.fromIterable(heads.staged().values())
        .map(StagedHead::record)
        .filter(record -> now - seenSince.get(record.id()) >= bound.toNanos())
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
