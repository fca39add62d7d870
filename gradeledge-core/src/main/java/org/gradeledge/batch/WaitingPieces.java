package org.gradeledge.batch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.gradeledge.deployment.Urgency;

/** The queue of pieces that wait for one service, most urgent first. Confined to the event loop. */
final class WaitingPieces {

  private final List<StagePiece> pieces = new ArrayList<>();

  boolean isEmpty() {
    return pieces.isEmpty();
  }

  int size() {
    return pieces.size();
  }

  void add(GroupInProgress group) {
    for (int index = 0; index < group.group().pieces(); index++) {
      pieces.add(new StagePiece(group, index));
    }
  }

  void addAll(Collection<StagePiece> retried) {
    pieces.addAll(retried);
  }

  /**
   * Returns the number of pieces ahead of a group.
   *
   * @param callMillis expected duration of a call
   */
  long countAhead(GroupInProgress group, double callMillis, long now) {
    return pieces.stream()
        .filter(piece -> piece.group().meetsTargetAfter(callMillis, now))
        .filter(piece -> piece.group().sortKeyNanos() <= group.sortKeyNanos())
        .count();
  }

  /**
   * Returns the number of pieces of this priority or a more urgent one that can still meet their
   * target time.
   *
   * @param callMillis expected duration of a call
   */
  long countInTime(int priority, double callMillis, long now) {
    return countInTime(0, priority, callMillis, now);
  }

  /**
   * Returns the number of pieces of a range of priorities that can still meet their target time.
   *
   * @param callMillis expected duration of a call
   */
  long countInTime(int mostUrgent, int leastUrgent, double callMillis, long now) {
    return pieces.stream()
        .filter(piece -> piece.group().group().priority() >= mostUrgent)
        .filter(piece -> piece.group().group().priority() <= leastUrgent)
        .filter(piece -> piece.group().meetsTargetAfter(callMillis, now))
        .count();
  }

  /** Returns the number of pieces of each priority. */
  long[] countByPriority() {
    long[] counts = new long[Urgency.LEVELS];
    for (StagePiece piece : pieces) {
      counts[PendingPieces.level(piece.group().group().priority())]++;
    }
    return counts;
  }

  /** Discards the pieces of a request without notifying its listeners. */
  void cancel(String requestId) {
    pieces.stream()
        .filter(piece -> piece.group().group().requestId().equals(requestId))
        .forEach(piece -> piece.group().cancel());
    pieces.removeIf(piece -> piece.group().hasEnded());
  }

  /** Removes and returns the groups that cannot complete in time or have waited too long. */
  Set<GroupInProgress> removeExpired(double shortestMillis, long now) {
    Set<GroupInProgress> late =
        pieces.stream()
            .map(StagePiece::group)
            .filter(group -> !group.hasEnded())
            .filter(
                group -> group.remainingMillis(now) < shortestMillis || group.hasExceededWait(now))
            .collect(Collectors.toSet());
    pieces.removeIf(piece -> piece.group().hasEnded() || late.contains(piece.group()));
    return late;
  }

  /**
   * Sorts by target time, with the guaranteed pieces of each priority first and pieces that can no
   * longer meet their target time at the end.
   */
  void sort(double callMillis, GuaranteedShares guarantees, long now) {
    pieces.sort(
        Comparator.comparing((StagePiece piece) -> !piece.group().meetsTargetAfter(callMillis, now))
            .thenComparingLong(piece -> piece.group().sortKeyNanos()));
    double[] credits = new double[Urgency.LEVELS];
    Arrays.setAll(credits, guarantees::credit);
    boolean anyGuaranteed = false;
    for (GroupInProgress group : groups()) {
      int level = PendingPieces.level(group.group().priority());
      group.setGuaranteed(credits[level] > 0 && group.meetsTargetAfter(callMillis, now));
      credits[level] -= group.isGuaranteed() ? group.group().pieces() : 0;
      anyGuaranteed |= group.isGuaranteed();
    }
    if (anyGuaranteed) {
      pieces.sort(Comparator.comparing(piece -> !piece.group().isGuaranteed()));
    }
  }

  /** Returns the number of guaranteed pieces of priorities that are less urgent. */
  long countGuaranteedBelow(int priority) {
    return pieces.stream()
        .filter(
            piece -> piece.group().isGuaranteed() && piece.group().group().priority() > priority)
        .count();
  }

  /** Returns the waiting groups in queue order. */
  List<GroupInProgress> groups() {
    return pieces.stream().map(StagePiece::group).distinct().toList();
  }

  /** Removes and returns the most urgent eligible pieces that fit into one call. */
  List<StagePiece> takeBatch(int maxPieces, long freeBytes, Predicate<GroupInProgress> eligible) {
    BatchAssembler assembler = new BatchAssembler(maxPieces, freeBytes);
    byGroup().forEach((group, waiting) -> offer(assembler, group, waiting, eligible));
    List<StagePiece> batch = assembler.pieces();
    pieces.removeAll(Set.copyOf(batch));
    return batch;
  }

  private static void offer(
      BatchAssembler assembler,
      GroupInProgress group,
      List<StagePiece> waiting,
      Predicate<GroupInProgress> eligible) {
    if (eligible.test(group)) {
      assembler.offer(group, waiting);
    }
  }

  /** Returns the pieces by group, in queue order. */
  private Map<GroupInProgress, List<StagePiece>> byGroup() {
    return pieces.stream()
        .collect(Collectors.groupingBy(StagePiece::group, LinkedHashMap::new, Collectors.toList()));
  }
}
