package org.gradeledge.batch;

import java.util.Arrays;
import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A group whose pieces are being made. Confined to the event loop. */
final class GroupInProgress {

  private static final long PRIORITY_NANOS = 400_000_000L;
  private static final long WORTH_WAITING_BYTES = 200_000;
  private static final double PATIENCE = 0.35;

  private final StageGroup group;
  private String zone;
  private final long startNanos;
  private final String box;
  private final StageWorkListener listener;
  private final long dueNanos;
  private final long endNanos;
  private final @Nullable String[] handles;
  private long lastCallNanos;
  private int missing;
  private final BitSet withInputs = new BitSet();
  private final Set<String> endedUpstreams = new LinkedHashSet<>();
  private boolean over;

  GroupInProgress(
      StageGroup group, String zone, String box, long nowNanos, StageWorkListener listener) {
    this.group = group;
    this.zone = zone;
    this.startNanos = nowNanos;
    this.lastCallNanos = nowNanos;
    this.box = box;
    this.listener = listener;
    this.dueNanos = nowNanos + group.dueMillis() * 1_000_000;
    this.endNanos = nowNanos + group.remainingMillis() * 1_000_000;
    this.handles = new String[group.pieces()];
    this.missing = group.pieces();
  }

  StageGroup group() {
    return group;
  }

  /** Returns the zone that the pieces are best made in. */
  String zone() {
    return zone;
  }

  /** Notes that an upstream ended while it made a piece. */
  void upstreamEnded(String start) {
    endedUpstreams.add(start);
  }

  /** Returns how many upstreams have ended while they made pieces. */
  int endedUpstreams() {
    return endedUpstreams.size();
  }

  /** Notes when and where a piece is made, so that the others are made nearby. */
  void called(String firstZone, long nowNanos) {
    lastCallNanos = nowNanos;
    if (zone.isEmpty()) {
      zone = firstZone;
    }
  }

  /**
   * Returns how long the pieces may wait for an upstream of the zone: a part of the time there is,
   * where many bytes would cross zones otherwise.
   */
  long patienceMillis() {
    long bytes = group.pieces() * Math.max(group.inputBytes(), group.resultBytes());
    return bytes < WORTH_WAITING_BYTES ? 0 : (long) (group.dueMillis() * PATIENCE);
  }

  long waitedMillis(long nowNanos) {
    return (nowNanos - startNanos) / 1_000_000;
  }

  boolean isOver() {
    return over;
  }

  long leftMillis(long nowNanos) {
    return (endNanos - nowNanos) / 1_000_000;
  }

  /** Returns whether the request is better given up than kept waiting any longer. */
  boolean waitedTooLong(long nowNanos) {
    return waitedMillis(nowNanos) > group.waitMillis();
  }

  /** Returns whether results that come after so many milliseconds are still in time. */
  boolean inTimeAfter(double millis, long nowNanos) {
    return nowNanos + (long) (millis * 1e6) <= dueNanos;
  }

  /** Returns the moment by which groups are put in order; a less urgent one counts as due later. */
  long orderNanos() {
    return dueNanos + group.priority() * PRIORITY_NANOS;
  }

  /** Notes that an upstream has fetched the inputs for a piece. */
  void inputsTaken(int index) {
    boolean hadAll = hasAllInputs();
    withInputs.set(index);
    if (!over && !hadAll && hasAllInputs() && !group.inputs().isEmpty()) {
      listener.inputsTaken();
    }
  }

  private boolean hasAllInputs() {
    return withInputs.cardinality() == group.pieces();
  }

  void made(int index, String handle) {
    handles[index] = handle;
    missing--;
    if (missing == 0 && !over) {
      end(StageOutcome.MADE, Arrays.stream(handles).map(Objects::requireNonNull).toList(), 0);
    }
    inputsTaken(index);
  }

  void fail(StageOutcome outcome, long comeBackMillis) {
    if (!over) {
      end(outcome, List.of(), comeBackMillis);
    }
  }

  /** Ends without telling anybody. */
  void cancel() {
    over = true;
  }

  /** Returns the results that exist although nobody wants them any more. */
  List<String> leftOver() {
    return Arrays.stream(handles).filter(Objects::nonNull).map(Objects::requireNonNull).toList();
  }

  private void end(StageOutcome outcome, List<String> made, long comeBackMillis) {
    over = true;
    long waited = Math.max(0, lastCallNanos - startNanos) / 1_000_000;
    listener.ended(
        new StageGroupResult(
            outcome, made, box, comeBackMillis, waited, List.copyOf(endedUpstreams)));
  }
}
