package org.gradeledge.request;

import java.util.concurrent.atomic.AtomicLong;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether this box accepts new requests, and counts those in progress. Thread-safe.
 *
 * @since 0.1
 */
public final class ServingGate {

  /**
   * A condition for accepting new requests.
   *
   * @since 0.1
   */
  @FunctionalInterface
  public interface Condition {

    /** Returns whether new requests may be accepted now; must not block. */
    boolean holds();
  }

  private final Condition membership;
  private final AtomicLong inProgress = new AtomicLong();
  private volatile @Nullable RefusalReason closeReason;

  /** Creates an open gate that checks {@code membership} for each request. */
  public ServingGate(Condition membership) {
    this.membership = membership;
  }

  /** Throws a {@link RefusalException} if this box does not accept new requests. */
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

  /** Refuses all new requests from now on. */
  public void close(RefusalReason reason) {
    closeReason = reason;
  }

  /** Returns the number of requests in progress. */
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
