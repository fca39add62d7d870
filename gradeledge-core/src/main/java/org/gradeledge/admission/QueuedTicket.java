package org.gradeledge.admission;

import java.util.concurrent.atomic.AtomicBoolean;
import org.gradeledge.verdict.RefusalException;
import reactor.core.publisher.MonoSink;

/**
 * A ticket that waits for a permit.
 *
 * @param ticket what asks to start
 * @param virtualFinishTime its place in the fair order over all accounts
 * @param sequence breaks ties, first come first
 * @param sink told when it may start
 * @param granted whether it holds a permit
 * @param release gives its permit back, and does nothing where it holds none
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

  void refuse(RefusalException why) {
    sink.error(why);
  }
}
