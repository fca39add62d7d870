package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import java.util.concurrent.atomic.AtomicBoolean;
import org.gradeledge.batch.BatchCoordinator;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageGroupResult;
import org.gradeledge.batch.StageWorkListener;
import org.gradeledge.peer.PeerNetwork;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** Runs stage work that other boxes delegate to this one. Confined to the event loop. */
final class StageWorkHandler {

  private final BatchCoordinator coordinator;
  private final MeshConnections connections;
  private final EventLoop loop;

  StageWorkHandler(BatchCoordinator coordinator, MeshConnections connections, EventLoop loop) {
    this.coordinator = coordinator;
    this.connections = connections;
    this.loop = loop;
  }

  /** Registers the handlers of messages about stage work of other boxes. */
  void registerHandlers(PeerNetwork network) {
    Scheduler scheduler = Schedulers.fromExecutor(loop);
    network.register(
        MeshMessages.STAGE_WORK,
        (from, group) -> Mono.defer(() -> handle(from.boxId(), group)).subscribeOn(scheduler));
    network.register(
        MeshMessages.STAGE_CANCEL,
        (from, message) -> run(() -> coordinator.cancel(message.service(), message.requestId())));
    network.register(
        MeshMessages.STAGE_FREE,
        (from, message) -> run(() -> coordinator.release(message.handles())));
  }

  private Mono<Void> run(Runnable action) {
    return Mono.fromRunnable(() -> loop.execute(action));
  }

  /**
   * Starts a group of another box. If the subscriber cancels, cancels the group and frees its
   * results.
   */
  private Mono<StageGroupResult> handle(String box, StageGroup group) {
    connections.markUsed(box);
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
