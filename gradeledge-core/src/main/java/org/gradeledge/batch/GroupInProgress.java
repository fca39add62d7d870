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

  private static final long NANOS_PER_PRIORITY = 400_000_000L;
  private static final long MIN_LOCALITY_BYTES = 200_000;
  private static final double LOCALITY_WAIT_SHARE = 0.35;

  private final StageGroup group;
  private String zone;
  private final long startNanos;
  private final String box;
  private final StageWorkListener listener;
  private final long dueNanos;
  private final long expiryNanos;
  private final @Nullable String[] handles;
  private long lastCallNanos;
  private int unfinished;
  private final BitSet piecesWithInputs = new BitSet();
  private final Set<String> crashedUpstreams = new LinkedHashSet<>();
  private boolean ended;

  GroupInProgress(
      StageGroup group, String zone, String box, long nowNanos, StageWorkListener listener) {
    this.group = group;
    this.zone = zone;
    this.startNanos = nowNanos;
    this.lastCallNanos = nowNanos;
    this.box = box;
    this.listener = listener;
    this.dueNanos = nowNanos + group.dueMillis() * 1_000_000;
    this.expiryNanos = nowNanos + group.remainingMillis() * 1_000_000;
    this.handles = new String[group.pieces()];
    this.unfinished = group.pieces();
  }

  StageGroup group() {
    return group;
  }

  /** Returns the zone that the pieces are best made in. */
  String zone() {
    return zone;
  }

  /** Notes that an upstream ended while it made a piece. */
  void recordCrash(String start) {
    crashedUpstreams.add(start);
  }

  /** Returns how many upstreams have ended while they made pieces. */
  int crashCount() {
    return crashedUpstreams.size();
  }

  /** Notes when and where a piece is made, so that the others are made nearby. */
  void recordCall(String firstZone, long nowNanos) {
    lastCallNanos = nowNanos;
    if (zone.isEmpty()) {
      zone = firstZone;
    }
  }

  /**
   * Returns how long the pieces may wait for an upstream of the zone: a part of the time there is,
   * where many bytes would cross zones otherwise.
   */
  long localityWaitMillis() {
    long bytes = group.pieces() * Math.max(group.inputBytes(), group.resultBytes());
    return bytes < MIN_LOCALITY_BYTES ? 0 : (long) (group.dueMillis() * LOCALITY_WAIT_SHARE);
  }

  long waitedMillis(long nowNanos) {
    return (nowNanos - startNanos) / 1_000_000;
  }

  boolean hasEnded() {
    return ended;
  }

  long remainingMillis(long nowNanos) {
    return (expiryNanos - nowNanos) / 1_000_000;
  }

  /** Returns whether the request is better given up than kept waiting any longer. */
  boolean hasExceededWait(long nowNanos) {
    return waitedMillis(nowNanos) > group.waitMillis();
  }

  /** Returns whether results that come after so many milliseconds are still in time. */
  boolean meetsTargetAfter(double millis, long nowNanos) {
    return nowNanos + (long) (millis * 1e6) <= dueNanos;
  }

  /** Returns the moment by which groups are put in order; a less urgent one counts as due later. */
  long sortKeyNanos() {
    return dueNanos + group.priority() * NANOS_PER_PRIORITY;
  }

  /** Notes that an upstream has fetched the inputs for a piece. */
  void inputsFetched(int index) {
    boolean hadAll = hasAllInputs();
    piecesWithInputs.set(index);
    if (!ended && !hadAll && hasAllInputs() && !group.inputs().isEmpty()) {
      listener.onInputsFetched();
    }
  }

  private boolean hasAllInputs() {
    return piecesWithInputs.cardinality() == group.pieces();
  }

  void pieceCompleted(int index, String handle) {
    handles[index] = handle;
    unfinished--;
    if (unfinished == 0 && !ended) {
      end(StageOutcome.MADE, Arrays.stream(handles).map(Objects::requireNonNull).toList(), 0);
    }
    inputsFetched(index);
  }

  void fail(StageOutcome outcome, long comeBackMillis) {
    if (!ended) {
      end(outcome, List.of(), comeBackMillis);
    }
  }

  /** Ends without telling anybody. */
  void cancel() {
    ended = true;
  }

  /** Returns the results that exist although nobody wants them any more. */
  List<String> unusedHandles() {
    return Arrays.stream(handles).filter(Objects::nonNull).map(Objects::requireNonNull).toList();
  }

  private void end(StageOutcome outcome, List<String> made, long comeBackMillis) {
    ended = true;
    long waited = Math.max(0, lastCallNanos - startNanos) / 1_000_000;
    listener.onEnd(
        new StageGroupResult(
            outcome, made, box, comeBackMillis, waited, List.copyOf(crashedUpstreams)));
  }
}
