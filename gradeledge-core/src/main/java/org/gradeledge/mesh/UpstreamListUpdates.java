package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.gradeledge.discovery.UpstreamRegistry;

/**
 * How a box comes by a newer list of upstreams that another one has. Few boxes all read it from the
 * platform, and so do relays among many; the others wait for their relay to have it and ask it, so
 * that news costs one message of the zone in place of one call to the platform for each box.
 * Confined to the event loop.
 */
final class UpstreamListUpdates {

  /**
   * A relay has the news and passes it on within about 200 ms; a box that has not learned it by
   * then reads it itself, well within the shortest bound for upstreams that leave (2 s).
   */
  private static final long READ_DELAY_MILLIS = 500;

  /** A box that cannot read the platform either asks whoever had the news first. */
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

  /** Sets how the list is read from the platform. */
  void setReadAction(Runnable action) {
    readAction = action;
  }

  /** Hears that a box has a list of some revision. */
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

  /** Hears from a relay itself that it has a list of some revision. */
  void onRelayRevision(String relay, long revision) {
    documents.scheduleUpstreamsFetch(relay, revision, 0);
  }

  private void readIfOutdated(long revision) {
    if (upstreams.revision() < revision) {
      readAction.run();
    }
  }
}
