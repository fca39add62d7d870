package org.gradeledge.mesh;

import java.util.concurrent.atomic.AtomicBoolean;
import org.gradeledge.batch.BatchCoordinator;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageGroupResult;
import org.gradeledge.batch.StageWorkListener;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Does stage work that other boxes hand to this one. Confined to the event loop. */
final class StageWorkHandler {

  private final BatchCoordinator coordinator;
  private final MeshLinks links;

  StageWorkHandler(BatchCoordinator coordinator, MeshLinks links) {
    this.coordinator = coordinator;
    this.links = links;
  }

  /** Starts the work; if nobody waits for it any more it is cancelled, and its results given up. */
  Mono<StageGroupResult> work(String box, StageGroup group) {
    return Mono.create(
        sink -> {
          Handed handed = new Handed(box, group, sink);
          sink.onCancel(handed::cancel);
          coordinator.submit(group, handed);
        });
  }

  /** A group of another box, which hears how it goes as long as it waits for it. */
  private final class Handed implements StageWorkListener {

    private final String box;
    private final StageGroup group;
    private final MonoSink<StageGroupResult> sink;
    private final AtomicBoolean wanted = new AtomicBoolean(true);

    Handed(String box, StageGroup group, MonoSink<StageGroupResult> sink) {
      this.box = box;
      this.group = group;
      this.sink = sink;
    }

    void cancel() {
      wanted.set(false);
      coordinator.cancel(group.service(), group.requestId());
    }

    @Override
    public void onEnd(StageGroupResult result) {
      if (wanted.get()) {
        sink.success(result);
      } else {
        coordinator.release(result.handles());
      }
    }

    @Override
    public void onInputsFetched() {
      links.tell(
          box,
          MeshMessages.STAGE_INPUTS_TAKEN,
          new StageInputsTaken(group.requestId(), group.stage()));
    }
  }
}
