package org.gradeledge.admission;

import java.util.concurrent.atomic.AtomicBoolean;
import org.gradeledge.verdict.RefusalException;
import reactor.core.publisher.MonoSink;

/**
 * A ticket in the queue of a stage limiter.
 *
 * @param ticket the stage call
 * @param virtualFinishTime sort key of weighted fair queueing
 * @param sequence arrival order, which breaks ties
 * @param sink receives the permit or the refusal
 * @param granted whether the ticket holds a permit
 * @param release releases the permit, without effect if none is held
 */
record QueuedTicket(
    StageTicket ticket,
    double virtualFinishTime,
    long sequence,
    MonoSink<Runnable> sink,
    AtomicBoolean granted,
    Runnable release) {

  void grant() {
    sink.success(release);
  }

  void refuse(RefusalException refusal) {
    sink.error(refusal);
  }
}
