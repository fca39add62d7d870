package org.gradeledge.batch;

import java.util.Arrays;
import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A group of pieces that waits or is being computed. Confined to the event loop. */
final class GroupInProgress {

  /** Delay of a priority level in the order of the queue, in milliseconds. */
  static final long MILLIS_PER_PRIORITY = 400;

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
  private boolean guaranteed;

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

  /** Returns the preferred zone of the pieces; empty if there is none. */
  String zone() {
    return zone;
  }

  /** Records that an upstream crashed while it computed a piece. */
  void recordCrash(String incarnation) {
    crashedUpstreams.add(incarnation);
  }

  /** Returns the number of upstream incarnations that crashed while they computed pieces. */
  int crashCount() {
    return crashedUpstreams.size();
  }

  /**
   * Records the time and zone of a call; the first zone becomes the preferred one if none is set.
   */
  void recordCall(String callZone, long nowNanos) {
    lastCallNanos = nowNanos;
    if (zone.isEmpty()) {
      zone = callZone;
    }
  }

  /**
   * Returns how long the pieces may wait for an upstream of the preferred zone; zero if little data
   * would cross zones.
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

  /** Returns whether the group has waited longer than the request allows. */
  boolean hasExceededWait(long nowNanos) {
    return waitedMillis(nowNanos) > group.waitMillis();
  }

  /** Returns whether results meet the target time if they are available after the given delay. */
  boolean meetsTargetAfter(double millis, long nowNanos) {
    return nowNanos + (long) (millis * 1e6) <= dueNanos;
  }

  /** Returns the sort key of the group: its target time plus a delay for each priority level. */
  long sortKeyNanos() {
    return dueNanos + group.priority() * MILLIS_PER_PRIORITY * 1_000_000;
  }

  /** Returns whether the guaranteed share of its priority puts the group before all others. */
  boolean isGuaranteed() {
    return guaranteed;
  }

  void setGuaranteed(boolean guaranteed) {
    this.guaranteed = guaranteed;
  }

  /** Records that an upstream has fetched the inputs of a piece. */
  void inputsFetched(int index) {
    boolean hadAllInputs = hasAllInputs();
    piecesWithInputs.set(index);
    if (!ended && !hadAllInputs && hasAllInputs() && !group.inputs().isEmpty()) {
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

  void fail(StageOutcome outcome, long retryAfterMillis) {
    if (!ended) {
      end(outcome, List.of(), retryAfterMillis);
    }
  }

  /** Ends the group without notifying the listener. */
  void cancel() {
    ended = true;
  }

  /** Returns the results computed so far, to be released if the group fails. */
  List<String> unusedHandles() {
    return Arrays.stream(handles).filter(Objects::nonNull).map(Objects::requireNonNull).toList();
  }

  private void end(StageOutcome outcome, List<String> results, long retryAfterMillis) {
    ended = true;
    long waited = Math.max(0, lastCallNanos - startNanos) / 1_000_000;
    listener.onEnd(
        new StageGroupResult(
            outcome, results, box, retryAfterMillis, waited, List.copyOf(crashedUpstreams)));
  }
}
