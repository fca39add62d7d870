package org.gradeledge.batch;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.gradeledge.connection.LivenessChecker;
import org.gradeledge.connection.LivenessResult;

/**
 * Checks whether an upstream crashed while it processed a call, before the pieces of the call are
 * retried. Confined to the event loop.
 */
final class CrashCheck {

  /** Longer than a network round trip: a crashed upstream refuses connections immediately. */
  private static final long TIMEOUT_MILLIS = 60;

  private final LivenessChecker livenessChecker;
  private final EventLoop loop;

  CrashCheck(LivenessChecker livenessChecker, EventLoop loop) {
    this.livenessChecker = livenessChecker;
    this.loop = loop;
  }

  /** Checks the upstream and runs the continuation once, after the check or a timeout. */
  void check(BatchCall call, Runnable continuation) {
    Once once = new Once(continuation);
    livenessChecker.check(
        call.target().upstream(),
        result -> {
          if (result == LivenessResult.REFUSED) {
            String incarnation = call.target().upstream().incarnationId();
            call.pieces().forEach(piece -> piece.group().recordCrash(incarnation));
          }
          once.run();
        });
    loop.schedule(once, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Runs an action on the first invocation only. */
  private static final class Once implements Runnable {

    private final Runnable action;
    private boolean done;

    Once(Runnable action) {
      this.action = action;
    }

    @Override
    public void run() {
      if (!done) {
        done = true;
        action.run();
      }
    }
  }
}
