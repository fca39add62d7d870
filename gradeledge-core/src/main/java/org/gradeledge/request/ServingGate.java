package org.gradeledge.request;

import java.util.concurrent.atomic.AtomicLong;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;
import org.jspecify.annotations.Nullable;

/**
 * Says whether this box may take in new work, and counts the work in progress. Thread-safe.
 *
 * @since 0.1
 */
public final class ServingGate {

  /**
   * One reason why a box may have to refuse all new work.
   *
   * @since 0.1
   */
  @FunctionalInterface
  public interface Condition {

    /** Returns whether new work may be taken in now; must not block. */
    boolean holds();
  }

  private final Condition membership;
  private final AtomicLong inProgress = new AtomicLong();
  private volatile @Nullable RefusalReason closeReason;

  /** Creates an open gate; {@code membership} is asked at each request. */
  public ServingGate(Condition membership) {
    this.membership = membership;
  }

  /** Refuses "not run" where the box may take in nothing. */
  public void checkOpen() {
    RefusalReason reason = closeReason;
    if (reason != null) {
      throw RefusalException.forReason(reason).detail("this box is stopping").build();
    }
    if (!membership.holds()) {
      throw RefusalException.forReason(RefusalReason.MEMBERSHIP_UNCONFIRMED)
          .detail("nobody has confirmed lately that this box is a member")
          .build();
    }
  }

  /** Refuses all new work from now on. */
  public void close(RefusalReason reason) {
    closeReason = reason;
  }

  /** Returns the requests in progress. */
  public long inProgress() {
    return inProgress.get();
  }

  void requestStarted() {
    inProgress.incrementAndGet();
  }

  void requestEnded() {
    inProgress.decrementAndGet();
  }
}
