package org.gradeledge.mesh;

import java.util.function.Consumer;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageGroupResult;
import org.gradeledge.time.MonotonicClock;

/** A group that another box works on, or is to work on. Confined to the event loop. */
final class Placement {

  private static final long NANOS_OF_MILLI = 1_000_000;

  private final StageGroup group;
  private final Consumer<StageGroupResult> listener;
  private final MonotonicClock clock;
  private final long startNanos;
  private int moves;

  Placement(StageGroup group, Consumer<StageGroupResult> listener, MonotonicClock clock) {
    this.group = group;
    this.listener = listener;
    this.clock = clock;
    this.startNanos = clock.nanos();
  }

  /** Returns the group as it was handed in. */
  StageGroup group() {
    return group;
  }

  /** Returns the group with the times that are left to it now. */
  StageGroup groupNow() {
    return group.after((clock.nanos() - startNanos) / NANOS_OF_MILLI);
  }

  Consumer<StageGroupResult> listener() {
    return listener;
  }

  /** Returns how often the work has gone from one box to another. */
  int moves() {
    return moves;
  }

  void moved() {
    moves++;
  }
}
