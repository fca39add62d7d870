package org.gradeledge.node;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.gradeledge.event.EventLog;
import org.gradeledge.mesh.BoxMesh;
import org.gradeledge.relay.RelayHandler;
import org.gradeledge.relay.RelayServer;
import org.gradeledge.time.MonotonicClock;

/**
 * Shuts a box down gracefully: reports that it is not ready, accepts only requests that are
 * expected to end before the box does until the load balancer has reacted, then refuses all new
 * ones and waits for requests in flight, also those that other boxes send through this one.
 * Confined to the event loop.
 */
final class GracefulShutdown {

  private static final long POLL_INTERVAL_MILLIS = 50;

  private final ShutdownSchedule schedule;
  private final RelayServer server;
  private final RelayHandler handler;
  private final BoxMesh mesh;
  private final UpstreamConnectivity connectivity;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EventLog events;
  private boolean started;
  private boolean refusing;

  GracefulShutdown(
      Duration gracePeriod,
      RelayServer server,
      RelayHandler handler,
      BoxMesh mesh,
      UpstreamConnectivity connectivity,
      EventLoop loop,
      MonotonicClock clock,
      EventLog events) {
    this.schedule = new ShutdownSchedule(gracePeriod);
    this.clock = clock;
    this.server = server;
    this.handler = handler;
    this.mesh = mesh;
    this.connectivity = connectivity;
    this.loop = loop;
    this.events = events;
  }

  boolean isStarted() {
    return started;
  }

  void start(Runnable onCompletion) {
    if (started) {
      return;
    }
    started = true;
    events.change("stop").with("active", server.activeRequests()).write();
    mesh.leave();
    connectivity.stopAcceptingTunnels();
    server.closeAfterAnswers();
    handler.stopAt(clock.nanos() + schedule.end().toNanos());
    schedule(schedule.closeIdle(), server::closeIdle);
    schedule(schedule.refuse(), this::refuseRequests);
    schedule(schedule.refuseUnsent(), handler::refuseUnsent);
    Runnable end = () -> end(onCompletion);
    schedule(schedule.end(), end);
    awaitActiveRequests(end);
  }

  /** Answers what is left, and completes once the answers are written. */
  private void end(Runnable onCompletion) {
    handler.processEnds();
    loop.execute(onCompletion);
  }

  private void refuseRequests() {
    refusing = true;
    handler.stop();
    server.closeIdle();
  }

  private void awaitActiveRequests(Runnable onCompletion) {
    if (refusing && server.activeRequests() == 0 && connectivity.servedTunnels() == 0) {
      onCompletion.run();
    } else {
      loop.schedule(
          () -> awaitActiveRequests(onCompletion), POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void schedule(Duration delay, Runnable step) {
    loop.schedule(step, delay.toMillis(), TimeUnit.MILLISECONDS);
  }
}
