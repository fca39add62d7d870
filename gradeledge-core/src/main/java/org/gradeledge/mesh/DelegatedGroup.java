package org.gradeledge.mesh;

import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageWorkListener;

/** A group and the box that has it; two with the same content are still two. Immutable. */
final class DelegatedGroup {

  private final StageGroup group;
  private final StageWorkListener listener;
  private final String box;

  DelegatedGroup(StageGroup group, StageWorkListener listener, String box) {
    this.group = group;
    this.listener = listener;
    this.box = box;
  }

  StageGroup group() {
    return group;
  }

  StageWorkListener listener() {
    return listener;
  }

  String box() {
    return box;
  }
}
