package org.gradeledge.mesh;

import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageGroupResult;
import org.gradeledge.peer.PeerMessageType;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.quarantine.SuspectUpdate;
import org.gradeledge.tunnel.TunnelOffer;
import org.gradeledge.tunnel.TunnelRequest;

/** Message types between boxes that relay. */
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

  static final PeerMessageType<SuspectUpdate> SUSPECTS =
      new PeerMessageType<>("suspects", SuspectUpdate.class);

  static final PeerMessageType<TunnelRequest> TUNNEL =
      new PeerMessageType<>("tunnel", TunnelRequest.class);

  static final PeerMessageType<OriginRecords> STREAM_ORIGINS =
      new PeerMessageType<>("origins", OriginRecords.class);

  static final PeerMessageType<OriginQuery> STREAM_ORIGIN_QUERY =
      new PeerMessageType<>("origin-query", OriginQuery.class);

  static final PeerMessageType<OriginRecords> ARCHIVE_ORIGINS =
      new PeerMessageType<>("archive-origins", OriginRecords.class);

  static final PeerMessageType<OriginQuery> ARCHIVED_ORIGIN_QUERY =
      new PeerMessageType<>("archived-origin-query", OriginQuery.class);

  private MeshMessages() {}

  /** Registers the formats of these messages and their responses. */
  static void registerFormats(PeerNetwork network) {
    network.register(Heartbeat.class, new HeartbeatFormat());
    network.register(Digest.class, new DigestFormat());
    network.register(DocumentRequest.class, new DocumentRequestFormat());
    network.register(DocumentAnswer.class, new DocumentAnswerFormat());
    network.register(UpstreamList.class, new UpstreamListFormat());
    network.register(StageGroup.class, new StageGroupFormat());
    network.register(StageGroupResult.class, new StageGroupResultFormat());
    network.register(StageCancel.class, new StageCancelFormat());
    network.register(StageFree.class, new StageFreeFormat());
    network.register(StageInputsTaken.class, new StageInputsTakenFormat());
    network.register(SuspectUpdate.class, new SuspectsFormat());
    network.register(TunnelRequest.class, new TunnelRequestFormat());
    network.register(TunnelOffer.class, new TunnelOfferFormat());
    network.register(OriginRecords.class, new OriginRecordsFormat());
    network.register(OriginQuery.class, new OriginQueryFormat());
  }
}
