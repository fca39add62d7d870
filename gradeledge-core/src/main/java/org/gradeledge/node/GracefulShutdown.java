package org.gradeledge.node;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.gradeledge.event.EventLog;
import org.gradeledge.mesh.BoxMesh;
import org.gradeledge.relay.RelayHandler;
import org.gradeledge.relay.RelayServer;

/**
 * Shuts a box down gracefully: reports that it is not ready, keeps serving until the load balancer
 * has reacted, closes idle connections, refuses new requests and waits for requests in flight, also
 * those that other boxes send through this one. The steps are scheduled at shares of the grace
 * period. Confined to the event loop.
 */
final class GracefulShutdown {

  private static final double CLOSE_IDLE_AT = 0.3;
  private static final double REFUSE_AT = 0.4;

  /** Requests that still wait for stage work at this point would not complete in time. */
  private static final double REFUSE_UNSENT_AT = 0.8;

  private static final double END_AT = 0.95;
  private static final long POLL_INTERVAL_MILLIS = 50;

  private final Duration gracePeriod;
  private final RelayServer server;
  private final RelayHandler handler;
  private final BoxMesh mesh;
  private final UpstreamConnectivity connectivity;
  private final EventLoop loop;
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
      EventLog events) {
    this.gracePeriod = gracePeriod;
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
    scheduleAt(CLOSE_IDLE_AT, server::closeIdle);
    scheduleAt(REFUSE_AT, this::refuseRequests);
    scheduleAt(REFUSE_UNSENT_AT, handler::refuseUnsent);
    Runnable end = () -> end(onCompletion);
    scheduleAt(END_AT, end);
    awaitActiveRequests(end);
  }

  private void end(Runnable onCompletion) {
    handler.processEnds();
    onCompletion.run();
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

  private void scheduleAt(double share, Runnable step) {
    loop.schedule(step, (long) (gracePeriod.toMillis() * share), TimeUnit.MILLISECONDS);
  }
}
