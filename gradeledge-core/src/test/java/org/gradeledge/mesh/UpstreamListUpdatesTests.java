package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.peer.PeerSecret;
import org.gradeledge.peer.PeerTransport;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.netty.resources.LoopResources;

/** Which boxes read the list of upstreams when another box reports a new one, in virtual time. */
class UpstreamListUpdatesTests {

  private static final String SELF = "127.0.0.1:1";
  private static final String ZONE = "zone";
  private static final int BOXES = 18;
  private static final int HEAVY = 100;
  private static final int LIGHT = 1;
  private static final long REVISION = 7;

  /** Time after which a box stops waiting for its relay. */
  private static final long RELAY_MILLIS = 500;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final LoopResources loops = LoopResources.create("updates", 1, true);
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final AtomicInteger reads = new AtomicInteger();

  @BeforeEach
  void freezeTime() {
    channel.freezeTime();
  }

  @AfterEach
  void stop() {
    channel.finishAndReleaseAll();
    loops.dispose();
  }

  @Test
  void aBoxThatIsNoRelayReadsAfterTheRelayTime() {
    UpstreamListUpdates updates = updatesAt(LIGHT);

    updates.onRevision("127.0.0.1:2", REVISION);
    advance(RELAY_MILLIS - 1);
    assertThat(reads).hasValue(0);

    advance(1);
    assertThat(reads).hasValue(1);
  }

  @Test
  void aBoxThatReceivesTheListMeanwhileDoesNotRead() {
    UpstreamListUpdates updates = updatesAt(LIGHT);

    for (int box = 2; box < BOXES; box++) {
      updates.onRevision("127.0.0.1:" + box, REVISION);
    }
    applyNewList();
    advance(RELAY_MILLIS);

    assertThat(reads).hasValue(0);
  }

  @Test
  void aRelayReadsAtOnce() {
    updatesAt(HEAVY).onRevision("127.0.0.1:2", REVISION);

    assertThat(reads).hasValue(1);
  }

  @Test
  void doesNotReadARevisionThatItAlreadyHas() {
    applyNewList();

    updatesAt(HEAVY).onRevision("127.0.0.1:2", REVISION);
    advance(RELAY_MILLIS);

    assertThat(reads).hasValue(0);
  }

  /** All other boxes have a weight in between. */
  private UpstreamListUpdates updatesAt(int weight) {
    MonotonicClock clock = () -> 0;
    PeerTable peers = new PeerTable(SELF, ZONE, weight, clock, EventLogs.silent());
    for (int box = 2; box <= BOXES; box++) {
      peers.update("127.0.0.1:" + box, ZONE, false, HEAVY / 2, 0);
    }
    PeerNetwork network =
        new PeerNetwork(
            SELF,
            new PeerSecret("a secret of sixteen bytes"),
            new PeerTransport(Optional.empty(), Optional.empty(), Optional.of(loops)),
            new BoxMetrics());
    HeartbeatRoutes routes = new HeartbeatRoutes(SELF, ZONE, peers, peers::alive, box -> false);
    DeploymentRegistry deployments =
        new DeploymentRegistry(
            document -> {
              throw new IllegalArgumentException("no configuration is read in this test");
            },
            EventLogs.silent());
    DocumentExchange documents =
        new DocumentExchange(
            new MeshConnections(network, clock),
            channel.eventLoop(),
            deployments,
            upstreams,
            new ListTrustTracker(upstreams));
    UpstreamListUpdates updates =
        new UpstreamListUpdates(routes, upstreams, documents, channel.eventLoop());
    updates.setReadAction(reads::incrementAndGet);
    return updates;
  }

  private void applyNewList() {
    upstreams.replaceAll(
        REVISION, List.of(new UpstreamRecord("id", "service", "127.0.0.1", 1, ZONE, 1, false)));
  }

  private void advance(long millis) {
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }
}
