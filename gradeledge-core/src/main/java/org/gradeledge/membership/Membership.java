package org.gradeledge.membership;

import java.time.Duration;
import java.util.Map;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.time.MonotonicClock;
import org.tinylog.Logger;

/**
 * The members as last read by this box, and the confirmation of its own membership.
 *
 * <p>A confirmation is valid for the membership bound on the monotonic clock, so that a box that
 * was suspended is unconfirmed when it resumes. Thread-safe.
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
  public Membership(
      String boxId, Duration membershipBound, MonotonicClock clock, BoxMetrics metrics) {
    this.boxId = boxId;
    this.membershipBound = membershipBound;
    this.clock = clock;
    this.metrics = metrics;
  }

  /** Returns the name of this box. */
  public String boxId() {
    return boxId;
  }

  /** Returns the incarnation with which this box joined, or 0 if it has not joined. */
  public long incarnation() {
    return incarnation;
  }

  /** Returns the members as last read. */
  public MemberSet members() {
    return members;
  }

  /** Updates the members from a read, unless a later read was applied before. */
  public synchronized void update(MemberSet read) {
    if (read.revision() >= members.revision()) {
      members = read;
    }
  }

  /** Records that this box joined with a new incarnation. */
  public synchronized void recordJoin(long newIncarnation) {
    incarnation = newIncarnation;
    everConfirmed = false;
    metrics.stateChange("joined");
    Logger.info("joined the member set: box={} incarnation={}", boxId, newIncarnation);
  }

  /**
   * Records a confirmation of this box's membership as of a time on the monotonic clock; ignores
   * confirmations of other incarnations. Call only after this box has installed all versions that
   * the confirmer reported.
   */
  public synchronized void recordConfirmation(long confirmedIncarnation, long asOfNanos) {
    if (confirmedIncarnation != incarnation) {
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

  /** Returns whether the membership is confirmed, so that this box may serve requests. */
  public synchronized boolean isConfirmed() {
    boolean confirmed =
        everConfirmed && clock.nanos() - confirmedAtNanos < membershipBound.toNanos();
    if (!confirmed && everConfirmed && !lapseLogged) {
      lapseLogged = true;
      metrics.stateChange("membership-lapsed");
      Logger.warn("membership confirmation expired: box={}", boxId);
    }
    return confirmed;
  }
}
