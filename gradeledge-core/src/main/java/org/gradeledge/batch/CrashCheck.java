package org.gradeledge.batch;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.gradeledge.connection.LivenessChecker;
import org.gradeledge.connection.LivenessResult;

/**
 * Looks, before the pieces of a call that was lost are made again, whether the upstream has ended
 * under them. Confined to the event loop.
 */
final class CrashCheck {

  /**
   * An upstream that has ended refuses a connection at once, within the way there and back; what is
   * still silent then is not waited for.
   */
  private static final long TIMEOUT_MILLIS = 60;

  private final LivenessChecker livenessChecks;
  private final EventLoop loop;

  CrashCheck(LivenessChecker ends, EventLoop loop) {
    this.livenessChecks = ends;
    this.loop = loop;
  }

  /** Looks, and runs what follows once. */
  void check(BatchCall call, Runnable then) {
    Once following = new Once(then);
    livenessChecks.check(
        call.target().upstream(),
        proof -> {
          if (proof == LivenessResult.REFUSED) {
            String start = call.target().upstream().incarnationId();
            call.pieces().forEach(piece -> piece.group().recordCrash(start));
          }
          following.run();
        });
    loop.schedule(following, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** An action that is run by whoever comes first. */
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
