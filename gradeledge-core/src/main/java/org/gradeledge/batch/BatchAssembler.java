package org.gradeledge.batch;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The pieces that are put together for one call, within the number of pieces and the room for
 * results that the call has. Confined to the event loop.
 *
 * <p>A group goes as a whole where it can: results of a group in parts take room at their upstream
 * until the last part is made, and where room is what binds, fewer groups are done in the same
 * time. The most urgent group goes in parts where it does not fit, so that large groups are not
 * passed over for ever by small ones, and so does one that was begun.
 *
 * <p>Groups under which an upstream ended go apart from each other, so that the one that ends
 * upstreams is told from those that were in its call; one under which two have ended goes alone.
 * They are not all put alone at once, as the end of an upstream mostly has another cause, and calls
 * that are not full are what a service has too few of.
 */
final class BatchAssembler {

  /**
   * By chance this happens to one group in some thousands, even where an upstream ends a minute.
   */
  private static final int CRASHES_BEFORE_ISOLATION = 2;

  private final int maxPieces;
  private long freeBytes;
  private final List<StagePiece> pieces = new ArrayList<>();

  /** The group in the call under which upstreams have ended. */
  private @Nullable GroupInProgress suspect;

  BatchAssembler(int mostPieces, long roomBytes) {
    this.maxPieces = mostPieces;
    this.freeBytes = roomBytes;
  }

  /** Puts in what fits of a group, the most urgent group first. */
  void offer(GroupInProgress group, List<StagePiece> waiting) {
    if (!canShareCall(group)) {
      return;
    }
    int fitting = Math.min(waiting.size(), countFitting(group.group().resultBytes()));
    boolean begun = waiting.size() < group.group().pieces();
    if (fitting == waiting.size() || begun || pieces.isEmpty()) {
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
    boolean alone = group.crashCount() >= CRASHES_BEFORE_ISOLATION;
    boolean besideOneAlone = suspect != null && suspect.crashCount() >= CRASHES_BEFORE_ISOLATION;
    boolean bothSuspects = suspect != null && group.crashCount() > 0;
    return !alone && !besideOneAlone && !bothSuspects;
  }

  /** Returns the pieces of the call, most urgent first; empty where none fits. */
  List<StagePiece> pieces() {
    return List.copyOf(pieces);
  }

  private int countFitting(long resultBytes) {
    int places = maxPieces - pieces.size();
    long room = resultBytes == 0 ? places : Math.max(0, freeBytes) / resultBytes;
    return (int) Math.min(places, room);
  }
}
