package org.gradeledge.batch;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Assembles the pieces of one call within its limits on items and result memory. Confined to the
 * event loop.
 *
 * <p>A group is normally added as a whole, as the results of a partial group occupy memory until
 * its last piece is computed. The most urgent group and groups that were already split are added in
 * part, so that small groups cannot starve them.
 *
 * <p>Groups that were in flight during an upstream crash do not share a call with each other, so
 * that the group that causes crashes can be identified. A group with two crashes is sent alone.
 */
final class BatchAssembler {

  private static final int CRASHES_BEFORE_ISOLATION = 2;

  private final int maxPieces;
  private long freeBytes;
  private final List<StagePiece> pieces = new ArrayList<>();

  /** The group in this call that was in flight during a crash, if any. */
  private @Nullable GroupInProgress suspect;

  BatchAssembler(int maxPieces, long freeBytes) {
    this.maxPieces = maxPieces;
    this.freeBytes = freeBytes;
  }

  /** Adds the pieces of a group that fit; groups must be offered most urgent first. */
  void offer(GroupInProgress group, List<StagePiece> waiting) {
    if (!canShareCall(group)) {
      return;
    }
    int fitting = Math.min(waiting.size(), countFitting(group.group().resultBytes()));
    boolean alreadySplit = waiting.size() < group.group().pieces();
    if (fitting == waiting.size() || alreadySplit || pieces.isEmpty()) {
      pieces.addAll(waiting.subList(0, fitting));
      freeBytes -= fitting * group.group().resultBytes();
      if (fitting > 0 && group.crashCount() > 0) {
        suspect = group;
      }
    }
  }

  private boolean canShareCall(GroupInProgress group) {
    if (pieces.isEmpty()) {
      return true;
    }
    boolean requiresIsolation = group.crashCount() >= CRASHES_BEFORE_ISOLATION;
    boolean suspectRequiresIsolation =
        suspect != null && suspect.crashCount() >= CRASHES_BEFORE_ISOLATION;
    boolean bothSuspects = suspect != null && group.crashCount() > 0;
    return !requiresIsolation && !suspectRequiresIsolation && !bothSuspects;
  }

  /** Returns the pieces of the call, most urgent first; empty if none fits. */
  List<StagePiece> pieces() {
    return List.copyOf(pieces);
  }

  private int countFitting(long resultBytes) {
    int slots = maxPieces - pieces.size();
    long fittingResults = resultBytes == 0 ? slots : Math.max(0, freeBytes) / resultBytes;
    return (int) Math.min(slots, fittingResults);
  }
}
