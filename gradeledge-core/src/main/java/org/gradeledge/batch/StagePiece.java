package org.gradeledge.batch;

/** A piece of a group in the queue or in a call. Confined to the event loop. */
final class StagePiece {

  private final GroupInProgress group;
  private final int index;

  StagePiece(GroupInProgress group, int index) {
    this.group = group;
    this.index = index;
  }

  GroupInProgress group() {
    return group;
  }

  int index() {
    return index;
  }
}
