package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against the use of stale state after the store is restored from a backup, which loses
 * recent writes and assigns their revisions again.
 */
@Timeout(40)
class FleetStoreRestoreTests {

  private static final String[] AUTHORIZATION = {"Authorization", "Bearer " + Fleet.API_KEY};
  private static final String CRASHING_BODY = "ends whoever runs it";
  private static final int BOXES = 3;
  private static final int REQUESTS = 40;

  /** Number of heartbeat writes that a restore loses. */
  private static final int LOST_WRITES = 500;

  private final Fleet fleet = new Fleet();

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  @Test
  void sendsNoRequestsToUpstreamThatLeavesAfterRestore() throws Exception {
    FleetEngine leaving = fleet.addEngine("plain", EngineKind.PLAIN);
    fleet.addEngine("plain", EngineKind.PLAIN);
    startBoxes();
    restore(fleet.store().snapshot());

    fleet.store().put("servers", leaving.id(), leaving.row("plain", "zone-a", "draining"));

    for (int box = 0; box < BOXES; box++) {
      int boxIndex = box;
      Fleet.await(() -> runCountFor(leaving, boxIndex) == 0);
    }
  }

  @Test
  void usesUpstreamThatStartsAfterRestore() throws Exception {
    startBoxes();
    restore(fleet.store().snapshot());

    FleetEngine started = fleet.addEngine("plain", EngineKind.PLAIN);

    for (int box = 0; box < BOXES; box++) {
      int boxIndex = box;
      Fleet.await(() -> runCountFor(started, boxIndex) > 0);
    }
  }

  @Test
  void keepsUpstreamThatIsMissingInSnapshot() throws Exception {
    StoreStandIn.Snapshot snapshot = fleet.store().snapshot();
    FleetEngine upstream = fleet.addEngine("plain", EngineKind.PLAIN);
    startBoxes();

    restore(snapshot);
    assertAllServed();
    fleet.store().put("servers", upstream.id(), upstream.row("plain", "zone-a", "ready"));

    assertAllServed();
  }

  @Test
  void rewritesVerdictThatIsMissingInSnapshot() throws Exception {
    List<FleetEngine> upstreams = addCrashingUpstreams();
    startBoxes();
    StoreStandIn.Snapshot snapshot = fleet.store().snapshot();
    awaitVerdict();
    long crashCount = upstreams.stream().filter(FleetEngine::isDown).count();

    restore(snapshot);
    Fleet.await(() -> !fleet.store().keys("quarantine").isEmpty());
    for (int box = 0; box < BOXES; box++) {
      assertThat(sendCrashingRequest(box).statusCode()).isEqualTo(503);
    }
    fleet.killAllBoxes();
    startBoxes();
    for (int box = 0; box < BOXES; box++) {
      assertThat(sendCrashingRequest(box).statusCode()).isEqualTo(503);
    }

    assertThat(upstreams.stream().filter(FleetEngine::isDown).count()).isEqualTo(crashCount);
  }

  // Guards against a restored row that puts a lifted verdict into force again.
  @Test
  void removesLiftedVerdictThatSnapshotContains() throws Exception {
    List<FleetEngine> upstreams = addCrashingUpstreams();
    startBoxes();
    awaitVerdict();
    StoreStandIn.Snapshot snapshot = fleet.store().snapshot();
    upstreams.forEach(upstream -> upstream.crashTriggers().setBody("nothing"));
    fleet.store().keys("quarantine").forEach(key -> fleet.store().remove("quarantine", key));
    for (int box = 0; box < BOXES; box++) {
      int boxIndex = box;
      Fleet.await(() -> sendCrashingRequest(boxIndex).statusCode() == 200);
    }

    restore(snapshot);

    Fleet.await(() -> fleet.store().keys("quarantine").isEmpty());
    for (int box = 0; box < BOXES; box++) {
      assertThat(sendCrashingRequest(box).statusCode()).isEqualTo(200);
    }
  }

  private List<FleetEngine> addCrashingUpstreams() {
    List<FleetEngine> upstreams = new ArrayList<>();
    for (int number = 0; number < 12; number++) {
      FleetEngine upstream = fleet.addEngine("model", EngineKind.STREAM);
      upstream.crashTriggers().setBody(CRASHING_BODY);
      upstreams.add(upstream);
    }
    return upstreams;
  }

  private void awaitVerdict() throws Exception {
    Fleet.await(
        () -> {
          for (int box = 0; box < BOXES; box++) {
            sendCrashingRequest(box);
          }
          return !fleet.store().keys("quarantine").isEmpty();
        });
  }

  private HttpResponse<String> sendCrashingRequest(int box) throws Exception {
    return fleet.postBody(box, "/resume/x", CRASHING_BODY, AUTHORIZATION);
  }

  /** Restores a snapshot once all boxes have read the writes that it lacks. */
  private void restore(StoreStandIn.Snapshot snapshot) throws Exception {
    for (int number = 0; number < LOST_WRITES; number++) {
      fleet.store().put("heartbeats", "key", "{}");
    }
    FleetEngine addedLater = fleet.addEngine("plain", EngineKind.PLAIN);
    for (int box = 0; box < BOXES; box++) {
      int boxIndex = box;
      Fleet.await(() -> runCountFor(addedLater, boxIndex) > 0);
    }
    fleet.store().restore(snapshot);
  }

  private void startBoxes() throws Exception {
    fleet.startBoxes(BOXES);
    fleet.awaitPeersConnected();
  }

  private void assertAllServed() throws Exception {
    for (int number = 0; number < REQUESTS; number++) {
      assertThat(get(number % BOXES).statusCode()).isEqualTo(200);
    }
  }

  /** Sends requests to a box and returns how many of them the upstream has run. */
  private int runCountFor(FleetEngine upstream, int box) throws Exception {
    int before = upstream.executedRequests().size();
    for (int number = 0; number < REQUESTS / BOXES; number++) {
      get(box);
    }
    return upstream.executedRequests().size() - before;
  }

  private HttpResponse<String> get(int box) throws Exception {
    return fleet.get(box, "/again/x", AUTHORIZATION);
  }
}
