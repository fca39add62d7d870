package org.gradeledge.batch;

import java.util.ArrayList;
import java.util.List;

/**
 * The pieces that are put together for one call, within the number of pieces and the room for
 * results that the call has. Confined to the event loop.
 *
 * <p>A group goes as a whole where it can: results of a group in parts take room at their upstream
 * until the last part is made, and where room is what binds, fewer groups are done in the same
 * time. The most urgent group goes in parts where it does not fit, so that large groups are not
 * passed over for ever by small ones, and so does one that was begun.
 */
final class CallLoad {

  private final int mostPieces;
  private long roomBytes;
  private final List<StagePiece> pieces = new ArrayList<>();

  CallLoad(int mostPieces, long roomBytes) {
    this.mostPieces = mostPieces;
    this.roomBytes = roomBytes;
  }

  /** Puts in what fits of a group, the most urgent group first. */
  void offer(GroupInProgress group, List<StagePiece> waiting) {
    int fitting = Math.min(waiting.size(), fitting(group.group().resultBytes()));
    boolean begun = waiting.size() < group.group().pieces();
    if (fitting == waiting.size() || begun || pieces.isEmpty()) {
      pieces.addAll(waiting.subList(0, fitting));
      roomBytes -= fitting * group.group().resultBytes();
    }
  }

  /** Returns the pieces of the call, most urgent first; empty where none fits. */
  List<StagePiece> pieces() {
    return List.copyOf(pieces);
  }

  private int fitting(long resultBytes) {
    int places = mostPieces - pieces.size();
    long room = resultBytes == 0 ? places : Math.max(0, roomBytes) / resultBytes;
    return (int) Math.min(places, room);
  }
}
