package org.gradeledge.node;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.gradeledge.event.EventLog;
import org.gradeledge.mesh.BoxMesh;
import org.gradeledge.relay.RelayHandler;
import org.gradeledge.relay.RelayServer;

/**
 * The steps of a planned stop: not ready at once, serving on until the balancer has noticed,
 * closing connections that rest, then waiting for what is under way, and refusing in time what no
 * upstream has got. Confined to the event loop.
 */
final class PlannedStop {

  private static final double IDLE_CLOSES_AT = 0.3;
  private static final double REFUSES_AT = 0.4;

  /** What waits for stage work by then would not be answered before the end. */
  private static final double REFUSES_UNSENT_AT = 0.8;

  private static final double ENDS_AT = 0.95;
  private static final long LOOK_MILLIS = 50;

  private final Duration grace;
  private final RelayServer server;
  private final RelayHandler handler;
  private final BoxMesh mesh;
  private final EventLoop loop;
  private final EventLog events;
  private boolean begun;
  private boolean refusing;

  PlannedStop(
      Duration grace,
      RelayServer server,
      RelayHandler handler,
      BoxMesh mesh,
      EventLoop loop,
      EventLog events) {
    this.grace = grace;
    this.server = server;
    this.handler = handler;
    this.mesh = mesh;
    this.loop = loop;
    this.events = events;
  }

  boolean hasBegun() {
    return begun;
  }

  void start(Runnable whenDone) {
    if (begun) {
      return;
    }
    begun = true;
    events.change("stop").with("active", server.activeRequests()).write();
    mesh.leave();
    server.closeAfterAnswers();
    after(IDLE_CLOSES_AT, server::closeIdle);
    after(REFUSES_AT, this::refuse);
    after(REFUSES_UNSENT_AT, handler::refuseUnsent);
    after(ENDS_AT, whenDone);
    waitForActive(whenDone);
  }

  private void refuse() {
    refusing = true;
    handler.stop();
    server.closeIdle();
  }

  private void waitForActive(Runnable whenDone) {
    if (refusing && server.activeRequests() == 0) {
      whenDone.run();
    } else {
      loop.schedule(() -> waitForActive(whenDone), LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void after(double part, Runnable step) {
    loop.schedule(step, (long) (grace.toMillis() * part), TimeUnit.MILLISECONDS);
  }
}
