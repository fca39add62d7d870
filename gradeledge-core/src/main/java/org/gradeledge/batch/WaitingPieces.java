package org.gradeledge.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** The pieces that wait for one service, most urgent first. Confined to the event loop. */
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

  void addAll(Collection<StagePiece> again) {
    pieces.addAll(again);
  }

  /** Returns how many pieces go before those of a group; a call takes so many milliseconds. */
  long countAhead(GroupInProgress group, double callMillis, long now) {
    return pieces.stream()
        .filter(piece -> piece.group().meetsTargetAfter(callMillis, now))
        .filter(piece -> piece.group().sortKeyNanos() <= group.sortKeyNanos())
        .count();
  }

  /**
   * Returns how many pieces can still be in time and are as urgent as a priority or more; a call
   * takes so many milliseconds.
   */
  long countInTime(int priority, double callMillis, long now) {
    return pieces.stream()
        .filter(piece -> piece.group().group().priority() <= priority)
        .filter(piece -> piece.group().meetsTargetAfter(callMillis, now))
        .count();
  }

  /** Drops the pieces of a request without telling anybody. */
  void cancel(String requestId) {
    pieces.stream()
        .filter(piece -> piece.group().group().requestId().equals(requestId))
        .forEach(piece -> piece.group().cancel());
    pieces.removeIf(piece -> piece.group().hasEnded());
  }

  /** Takes out the groups that are better given up; a call takes at least so many milliseconds. */
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

  /** Pieces that can still be in time go first; those that cannot are worth little. */
  void sort(double callMillis, long now) {
    pieces.sort(
        Comparator.comparing((StagePiece piece) -> !piece.group().meetsTargetAfter(callMillis, now))
            .thenComparingLong(piece -> piece.group().sortKeyNanos()));
  }

  /** Takes out the most urgent pieces that a call has place and room for. */
  List<StagePiece> takeBatch(int most, long roomBytes, Predicate<GroupInProgress> suits) {
    BatchAssembler load = new BatchAssembler(most, roomBytes);
    byGroup().forEach((group, waiting) -> offer(load, group, waiting, suits));
    List<StagePiece> chosen = load.pieces();
    pieces.removeAll(Set.copyOf(chosen));
    return chosen;
  }

  private static void offer(
      BatchAssembler load,
      GroupInProgress group,
      List<StagePiece> waiting,
      Predicate<GroupInProgress> suits) {
    if (suits.test(group)) {
      load.offer(group, waiting);
    }
  }

  /** Returns the pieces of each group, in the order in which the groups stand. */
  private Map<GroupInProgress, List<StagePiece>> byGroup() {
    return pieces.stream()
        .collect(Collectors.groupingBy(StagePiece::group, LinkedHashMap::new, Collectors.toList()));
  }
}
