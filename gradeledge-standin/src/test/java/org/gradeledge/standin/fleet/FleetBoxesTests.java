package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests several boxes together: stage work, configuration changes, draining and planned stops. */
@Timeout(60)
class FleetBoxesTests {

  private static final String[] AUTHORIZATION = {"Authorization", "Bearer " + Fleet.API_KEY};
  private static final String[] STAGE_HEADERS = {
    "Authorization", "Bearer " + Fleet.API_KEY, "X-Pieces", "2,3", "X-Piece-Key", "pk"
  };
  private static final int BOXES = 3;

  private final Fleet fleet = new Fleet();
  private FleetEngine plain;
  private FleetEngine model;
  private FleetEngine stage;

  @BeforeEach
  void start() throws Exception {
    plain = fleet.addEngine("plain", EngineKind.PLAIN);
    model = fleet.addEngine("model", EngineKind.STREAM);
    stage = fleet.addEngine("stage", EngineKind.STAGE);
    fleet.startBoxes(BOXES);
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  @Test
  void runsStagesInOrderAndReleasesResults() throws Exception {
    for (int box = 0; box < BOXES; box++) {
      HttpResponse<String> response = fleet.post(box, "/staged/x", STAGE_HEADERS);

      assertThat(response.statusCode()).isEqualTo(200);
      ReceivedRequest request = model.executedRequests().get(box);
      assertThat(request.header("X-Inputs").split(",")).hasSize(3);
    }
    Fleet.await(() -> stage.releasedHandles().size() == BOXES * 5);
  }

  @Test
  void batchesPiecesOfSeveralBoxes() throws Exception {
    fleet.post(0, "/staged/x", STAGE_HEADERS);
    List<CompletableFuture<Integer>> statuses = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      int box = i % BOXES;
      statuses.add(CompletableFuture.supplyAsync(() -> postStaged(box)));
    }
    for (CompletableFuture<Integer> status : statuses) {
      assertThat(status.get()).isEqualTo(200);
    }

    assertThat(stage.executedRequests().size()).isLessThan(31 * 3);
  }

  @Test
  void appliesChangeOnAllBoxesAndIgnoresOlderVersion() throws Exception {
    String addedRoute = "," + FleetConfiguration.route("/new/", "idempotent", "plain", "");
    fleet.configure(5, addedRoute);
    for (int box = 0; box < BOXES; box++) {
      int boxIndex = box;
      Fleet.await(() -> fleet.get(boxIndex, "/new/x", AUTHORIZATION).statusCode() == 200);
    }
    fleet.configure(4, "");
    fleet.configure(
        6, addedRoute + "," + FleetConfiguration.route("/n2/", "idempotent", "plain", ""));
    Fleet.await(() -> fleet.get(0, "/n2/x", AUTHORIZATION).statusCode() == 200);

    assertThat(fleet.get(0, "/new/x", AUTHORIZATION).statusCode()).isEqualTo(200);
  }

  @Test
  void startsFromPeersWhenStoreIsUnavailable() throws Exception {
    fleet.store().setFault(StoreFault.SILENT);
    fleet.startBox();

    fleet.awaitReady(BOXES);

    assertThat(fleet.get(BOXES, "/again/x", AUTHORIZATION).statusCode()).isEqualTo(200);
  }

  @Test
  void rereadsStoreThatLostItsHistory() throws Exception {
    fleet.store().setFault(StoreFault.FORGETFUL);
    fleet.configure(5, "," + FleetConfiguration.route("/new/", "idempotent", "plain", ""));

    for (int box = 0; box < BOXES; box++) {
      int boxIndex = box;
      Fleet.await(() -> fleet.get(boxIndex, "/new/x", AUTHORIZATION).statusCode() == 200);
    }
  }

  @Test
  void sendsNoRequestsToDrainingUpstream() throws Exception {
    FleetEngine other = fleet.addEngine("plain", EngineKind.PLAIN);
    Fleet.await(() -> fleet.get(0, "/again/x", AUTHORIZATION).body().contains(other.id()));
    fleet.store().put("servers", plain.id(), plain.row("plain", "zone-a", "draining"));
    Fleet.await(() -> !other.executedRequests().isEmpty() && runsAllRequests(other));

    int before = plain.executedRequests().size();
    for (int i = 0; i < 20; i++) {
      assertThat(fleet.get(0, "/again/x", AUTHORIZATION).statusCode()).isEqualTo(200);
    }
    assertThat(plain.executedRequests()).hasSize(before);
  }

  /** Returns whether the engine runs all of the next requests to box 0. */
  private boolean runsAllRequests(FleetEngine engine) throws Exception {
    int before = engine.executedRequests().size();
    for (int i = 0; i < 12; i++) {
      fleet.get(0, "/again/x", AUTHORIZATION);
    }
    return engine.executedRequests().size() == before + 12;
  }

  @Test
  void completesRequestInFlightOnPlannedStop() throws Exception {
    model.setFault(EngineFault.SLOW);
    CompletableFuture<HttpResponse<String>> response =
        CompletableFuture.supplyAsync(() -> postUnchecked(0, "/stream/x"));
    Fleet.await(() -> !model.executedRequests().isEmpty());

    fleet.box(0).stop();

    assertThat(response.get().body()).contains("piece " + FleetEngine.EVENTS);
  }

  private int postStaged(int box) {
    try {
      return fleet.post(box, "/staged/x", STAGE_HEADERS).statusCode();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private HttpResponse<String> postUnchecked(int box, String path) {
    try {
      return fleet.post(box, path, AUTHORIZATION);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
