package org.gradeledge.mesh;

import org.gradeledge.batch.StageGroup;
import org.gradeledge.peer.PeerMessageType;

/** The messages between boxes that relay. */
abstract class MeshMessages {

  static final PeerMessageType<Heartbeat> HEARTBEAT =
      new PeerMessageType<>("heartbeat", Heartbeat.class);
  static final PeerMessageType<Digest> DIGEST = new PeerMessageType<>("digest", Digest.class);
  static final PeerMessageType<DocumentRequest> CONFIGURATION =
      new PeerMessageType<>("configuration", DocumentRequest.class);
  static final PeerMessageType<DocumentRequest> UPSTREAMS =
      new PeerMessageType<>("upstreams", DocumentRequest.class);
  static final PeerMessageType<StageGroup> STAGE_WORK =
      new PeerMessageType<>("stage-work", StageGroup.class);
  static final PeerMessageType<StageCancel> STAGE_CANCEL =
      new PeerMessageType<>("stage-cancel", StageCancel.class);
  static final PeerMessageType<StageFree> STAGE_FREE =
      new PeerMessageType<>("stage-free", StageFree.class);

  static final PeerMessageType<StageInputsTaken> STAGE_INPUTS_TAKEN =
      new PeerMessageType<>("stage-inputs-taken", StageInputsTaken.class);

  private MeshMessages() {}
}
