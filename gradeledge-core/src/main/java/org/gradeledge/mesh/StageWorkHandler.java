package org.gradeledge.mesh;

import java.util.concurrent.atomic.AtomicBoolean;
import org.gradeledge.batch.BatchCoordinator;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageGroupResult;
import org.gradeledge.batch.StageWorkListener;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Runs stage work that other boxes delegate to this one. Confined to the event loop. */
final class StageWorkHandler {

  private final BatchCoordinator coordinator;
  private final MeshConnections connections;

  StageWorkHandler(BatchCoordinator coordinator, MeshConnections connections) {
    this.coordinator = coordinator;
    this.connections = connections;
  }

  /**
   * Starts a group of another box. If the subscriber cancels, cancels the group and frees its
   * results.
   */
  Mono<StageGroupResult> handle(String box, StageGroup group) {
    return Mono.create(
        sink -> {
          RemoteGroup remoteGroup = new RemoteGroup(box, group, sink);
          sink.onCancel(remoteGroup::cancel);
          coordinator.submit(group, remoteGroup);
        });
  }

  /**
   * Listener of a group that another box delegated; forwards events while that box awaits the
   * result.
   */
  private final class RemoteGroup implements StageWorkListener {

    private final String box;
    private final StageGroup group;
    private final MonoSink<StageGroupResult> sink;
    private final AtomicBoolean awaited = new AtomicBoolean(true);

    RemoteGroup(String box, StageGroup group, MonoSink<StageGroupResult> sink) {
      this.box = box;
      this.group = group;
      this.sink = sink;
    }

    void cancel() {
      awaited.set(false);
      coordinator.cancel(group.service(), group.requestId());
    }

    @Override
    public void onEnd(StageGroupResult result) {
      if (awaited.get()) {
        sink.success(result);
      } else {
        coordinator.release(result.handles());
      }
    }

    @Override
    public void onInputsFetched() {
      connections.send(
          box,
          MeshMessages.STAGE_INPUTS_TAKEN,
          new StageInputsTaken(group.requestId(), group.stage()));
    }
  }
}
