package org.gradeledge.mesh;

import java.util.concurrent.atomic.AtomicBoolean;
import org.gradeledge.batch.BatchCoordinator;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageGroupResult;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Does stage work that other boxes hand to this one. Confined to the event loop. */
final class StageWorkHandler {

  private final BatchCoordinator coordinator;

  StageWorkHandler(BatchCoordinator coordinator) {
    this.coordinator = coordinator;
  }

  /** Starts the work; if nobody waits for it any more it is cancelled, and its results given up. */
  Mono<StageGroupResult> work(StageGroup group) {
    return Mono.create(
        sink -> {
          AtomicBoolean wanted = new AtomicBoolean(true);
          sink.onCancel(
              () -> {
                wanted.set(false);
                coordinator.cancel(group.service(), group.requestId());
              });
          coordinator.submit(group, result -> hand(sink, wanted, result));
        });
  }

  private void hand(
      MonoSink<StageGroupResult> sink, AtomicBoolean wanted, StageGroupResult result) {
    if (wanted.get()) {
      sink.success(result);
    } else {
      coordinator.free(result.handles());
    }
  }
}
