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
final class GracefulShutdown {

  private static final double CLOSE_IDLE_AT = 0.3;
  private static final double REFUSE_AT = 0.4;

  /** What waits for stage work by then would not be answered before the end. */
  private static final double REFUSE_UNSENT_AT = 0.8;

  private static final double END_AT = 0.95;
  private static final long POLL_INTERVAL_MILLIS = 50;

  private final Duration gracePeriod;
  private final RelayServer server;
  private final RelayHandler handler;
  private final BoxMesh mesh;
  private final EventLoop loop;
  private final EventLog events;
  private boolean started;
  private boolean refusing;

  GracefulShutdown(
      Duration grace,
      RelayServer server,
      RelayHandler handler,
      BoxMesh mesh,
      EventLoop loop,
      EventLog events) {
    this.gracePeriod = grace;
    this.server = server;
    this.handler = handler;
    this.mesh = mesh;
    this.loop = loop;
    this.events = events;
  }

  boolean isStarted() {
    return started;
  }

  void start(Runnable whenDone) {
    if (started) {
      return;
    }
    started = true;
    events.change("stop").with("active", server.activeRequests()).write();
    mesh.leave();
    server.closeAfterAnswers();
    scheduleAt(CLOSE_IDLE_AT, server::closeIdle);
    scheduleAt(REFUSE_AT, this::refuseRequests);
    scheduleAt(REFUSE_UNSENT_AT, handler::refuseUnsent);
    scheduleAt(END_AT, whenDone);
    awaitActiveRequests(whenDone);
  }

  private void refuseRequests() {
    refusing = true;
    handler.stop();
    server.closeIdle();
  }

  private void awaitActiveRequests(Runnable whenDone) {
    if (refusing && server.activeRequests() == 0) {
      whenDone.run();
    } else {
      loop.schedule(
          () -> awaitActiveRequests(whenDone), POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void scheduleAt(double part, Runnable step) {
    loop.schedule(step, (long) (gracePeriod.toMillis() * part), TimeUnit.MILLISECONDS);
  }
}
