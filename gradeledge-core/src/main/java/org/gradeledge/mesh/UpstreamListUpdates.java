package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.gradeledge.discovery.UpstreamRegistry;

/**
 * Obtains a newer list of upstreams that another box reports. Relays, and all boxes where
 * heartbeats are not relayed, read it from the platform. Other boxes request it from their relay,
 * which saves platform calls. Confined to the event loop.
 */
final class UpstreamListUpdates {

  /**
   * Time after which a box that has not received the list from its relay reads it itself; shorter
   * than the shortest time limit for leaving upstreams (2 s), and longer than the 200 ms within
   * which a relay passes the list on.
   */
  private static final long READ_DELAY_MILLIS = 500;

  /** Time after which a box requests the list from the box that reported it. */
  private static final long FALLBACK_FETCH_DELAY_MILLIS = 1_000;

  private final HeartbeatRoutes routes;
  private final UpstreamRegistry upstreams;
  private final DocumentExchange documents;
  private final EventLoop loop;
  private Runnable readAction = () -> {};

  UpstreamListUpdates(
      HeartbeatRoutes routes,
      UpstreamRegistry upstreams,
      DocumentExchange documents,
      EventLoop loop) {
    this.routes = routes;
    this.upstreams = upstreams;
    this.documents = documents;
    this.loop = loop;
  }

  /** Sets the action that reads the list from the platform. */
  void setReadAction(Runnable action) {
    readAction = action;
  }

  /** Handles the revision that a box reports. */
  void onRevision(String box, long revision) {
    if (upstreams.revision() >= revision) {
      return;
    }
    if (!routes.usesRelays()) {
      readAction.run();
      documents.scheduleUpstreamsFetch(box, revision, 0);
      return;
    }
    if (routes.isRelay()) {
      readAction.run();
    } else {
      loop.schedule(() -> readIfOutdated(revision), READ_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
    documents.scheduleUpstreamsFetch(box, revision, FALLBACK_FETCH_DELAY_MILLIS);
  }

  /** Handles the revision that a relay reports for itself. */
  void onRelayRevision(String relay, long revision) {
    documents.scheduleUpstreamsFetch(relay, revision, 0);
  }

  private void readIfOutdated(long revision) {
    if (upstreams.revision() < revision) {
      readAction.run();
    }
  }
}
