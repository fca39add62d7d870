package org.gradeledge.membership;

import java.time.Duration;
import java.util.Map;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.time.MonotonicClock;
import org.tinylog.Logger;

/**
 * What a box knows of the members, and until when its own membership is confirmed.
 *
 * <p>A confirmation lasts for the membership bound on the monotonic clock, so that a box that was
 * frozen finds itself unconfirmed when it wakes. Thread-safe.
 *
 * @since 0.1
 */
public final class Membership {

  private static final MemberSet NO_MEMBERS = new MemberSet(0, 0, Map.of(), Map.of());

  private final String boxId;
  private final Duration membershipBound;
  private final MonotonicClock clock;
  private final BoxMetrics metrics;
  private volatile MemberSet members = NO_MEMBERS;
  private volatile long incarnation;
  private long confirmedAtNanos;
  private boolean everConfirmed;
  private boolean lapseLogged;

  /** Creates the membership of a box that has not joined yet. */
  public Membership(String boxId, Duration bound, MonotonicClock clock, BoxMetrics metrics) {
    this.boxId = boxId;
    this.membershipBound = bound;
    this.clock = clock;
    this.metrics = metrics;
  }

  /** Returns the name of this box. */
  public String boxId() {
    return boxId;
  }

  /** Returns the incarnation under which this box joined, 0 before it has. */
  public long incarnation() {
    return incarnation;
  }

  /** Returns the members as last read. */
  public MemberSet members() {
    return members;
  }

  /** Takes over a read of the members unless a later one is known. */
  public synchronized void update(MemberSet read) {
    if (read.revision() >= members.revision()) {
      members = read;
    }
  }

  /** Notes that this box has joined, or joined again. */
  public synchronized void recordJoin(long newIncarnation) {
    incarnation = newIncarnation;
    everConfirmed = false;
    metrics.stateChange("joined");
    Logger.info("joined: box={} incarnation={}", boxId, newIncarnation);
  }

  /**
   * Notes that somebody confirmed this incarnation's membership, as of a moment on the monotonic
   * clock. To be called only once this box has every version that the confirmer names.
   */
  public synchronized void recordConfirmation(long ofIncarnation, long asOfNanos) {
    if (ofIncarnation != incarnation) {
      return;
    }
    if (!everConfirmed || asOfNanos - confirmedAtNanos > 0) {
      confirmedAtNanos = asOfNanos;
      everConfirmed = true;
    }
    if (lapseLogged && isConfirmed()) {
      lapseLogged = false;
      metrics.stateChange("membership-confirmed");
      Logger.info("membership confirmed again: box={}", boxId);
    }
  }

  /** Returns whether this box may serve now. */
  public synchronized boolean isConfirmed() {
    boolean confirmed =
        everConfirmed && clock.nanos() - confirmedAtNanos < membershipBound.toNanos();
    if (!confirmed && everConfirmed && !lapseLogged) {
      lapseLogged = true;
      metrics.stateChange("membership-lapsed");
      Logger.warn("membership lapsed: box={}", boxId);
    }
    return confirmed;
  }
}
