package org.gradeledge.relay;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The attempts of one request that are in flight: the current one and, while that is silent, a
 * standby that takes its place once it answers. Confined to the event loop.
 */
final class ActiveAttempts {

  private @Nullable Attempt current;
  private @Nullable Attempt standby;

  /** Replaces the current attempt, which has ended. */
  void setCurrent(Attempt attempt) {
    current = attempt;
  }

  /** Adds an attempt beside the current one. */
  void setStandby(Attempt attempt) {
    standby = attempt;
  }

  boolean hasStandby() {
    return standby != null;
  }

  Optional<Attempt> standby() {
    return Optional.ofNullable(standby);
  }

  boolean isCurrent(Attempt attempt) {
    return attempt == current;
  }

  boolean contains(Attempt attempt) {
    return attempt == current || attempt == standby;
  }

  /**
   * Makes an attempt that has answered the only one and cancels the other, which is returned if
   * there is one.
   */
  Optional<Attempt> select(Attempt winner) {
    Optional<Attempt> loser = otherThan(winner);
    loser.ifPresent(Attempt::cancel);
    current = winner;
    standby = null;
    return loser;
  }

  /** Removes an attempt that has ended; returns the one that goes on, if there is one. */
  Optional<Attempt> remove(Attempt ended) {
    Optional<Attempt> remaining = otherThan(ended);
    remaining.ifPresent(this::setCurrent);
    standby = null;
    return remaining;
  }

  private Optional<Attempt> otherThan(Attempt attempt) {
    return Optional.ofNullable(attempt == current ? standby : current);
  }

  /** Cancels all attempts. */
  void cancelAll() {
    Optional.ofNullable(current).ifPresent(Attempt::cancel);
    Optional.ofNullable(standby).ifPresent(Attempt::cancel);
  }
}
