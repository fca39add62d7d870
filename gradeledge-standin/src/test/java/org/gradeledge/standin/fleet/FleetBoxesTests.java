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

/**
 * Several boxes before stand-ins of the users' platform: stage work, changes, leaving, stopping.
 */
@Timeout(60)
class FleetBoxesTests {

  private static final String[] WITH_KEY = {"Authorization", "Bearer " + Fleet.KEY};
  private static final String[] STAGED = {
    "Authorization", "Bearer " + Fleet.KEY, "X-Pieces", "2,3", "X-Piece-Key", "pk"
  };
  private static final int BOXES = 3;

  private final Fleet fleet = new Fleet();
  private FleetEngine plain;
  private FleetEngine model;
  private FleetEngine stage;

  @BeforeEach
  void start() throws Exception {
    plain = fleet.engine("plain", EngineKind.PLAIN);
    model = fleet.engine("model", EngineKind.STREAM);
    stage = fleet.engine("stage", EngineKind.STAGE);
    fleet.startBoxes(BOXES);
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  @Test
  void stageWorkIsDoneInOrderAndItsResultsAreHandedOnAndGivenUp() throws Exception {
    for (int box = 0; box < BOXES; box++) {
      HttpResponse<String> answer = fleet.post(box, "/staged/x", STAGED);

      assertThat(answer.statusCode()).isEqualTo(200);
      ReceivedRequest seen = model.executedRequests().get(box);
      assertThat(seen.header("X-Inputs").split(",")).hasSize(3);
    }
    Fleet.await(() -> stage.releasedHandles().size() == BOXES * 5);
  }

  @Test
  void piecesOfSeveralBoxesMeetInOneCall() throws Exception {
    fleet.post(0, "/staged/x", STAGED);
    List<CompletableFuture<Integer>> answers = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      int box = i % BOXES;
      answers.add(CompletableFuture.supplyAsync(() -> status(box)));
    }
    for (CompletableFuture<Integer> answer : answers) {
      assertThat(answer.get()).isEqualTo(200);
    }

    assertThat(stage.executedRequests().size()).isLessThan(31 * 3);
  }

  @Test
  void aChangeIsInForceOnEveryBoxAndIsNeverTakenBack() throws Exception {
    String added = "," + FleetConfiguration.route("/new/", "idempotent", "plain", "");
    fleet.configure(5, added);
    for (int box = 0; box < BOXES; box++) {
      int asked = box;
      Fleet.await(() -> fleet.get(asked, "/new/x", WITH_KEY).statusCode() == 200);
    }
    fleet.configure(4, "");
    fleet.configure(6, added + "," + FleetConfiguration.route("/n2/", "idempotent", "plain", ""));
    Fleet.await(() -> fleet.get(0, "/n2/x", WITH_KEY).statusCode() == 200);

    assertThat(fleet.get(0, "/new/x", WITH_KEY).statusCode()).isEqualTo(200);
  }

  @Test
  void aBoxThatTheStoreTurnsAwayLearnsFromItsPeers() throws Exception {
    fleet.store().setFault(StoreFault.SILENT);
    fleet.startBox();

    fleet.awaitReady(BOXES);

    assertThat(fleet.get(BOXES, "/again/x", WITH_KEY).statusCode()).isEqualTo(200);
  }

  @Test
  void aStoreThatForgetsItsHistoryIsReadAnew() throws Exception {
    fleet.store().setFault(StoreFault.FORGETFUL);
    fleet.configure(5, "," + FleetConfiguration.route("/new/", "idempotent", "plain", ""));

    for (int box = 0; box < BOXES; box++) {
      int asked = box;
      Fleet.await(() -> fleet.get(asked, "/new/x", WITH_KEY).statusCode() == 200);
    }
  }

  @Test
  void anUpstreamThatLeavesGetsNoNewWork() throws Exception {
    FleetEngine other = fleet.engine("plain", EngineKind.PLAIN);
    Fleet.await(() -> fleet.get(0, "/again/x", WITH_KEY).body().contains(other.id()));
    fleet.store().put("servers", plain.id(), plain.row("plain", "zone-a", "draining"));
    Fleet.await(() -> !other.executedRequests().isEmpty() && ranLately(other));

    int before = plain.executedRequests().size();
    for (int i = 0; i < 20; i++) {
      assertThat(fleet.get(0, "/again/x", WITH_KEY).statusCode()).isEqualTo(200);
    }
    assertThat(plain.executedRequests()).hasSize(before);
  }

  /** Returns whether the next requests of box 0 all go to one engine. */
  private boolean ranLately(FleetEngine engine) throws Exception {
    int before = engine.executedRequests().size();
    for (int i = 0; i < 12; i++) {
      fleet.get(0, "/again/x", WITH_KEY);
    }
    return engine.executedRequests().size() == before + 12;
  }

  @Test
  void aPlannedStopCutsNoRequestAndRefusesReadinessAtOnce() throws Exception {
    model.setFault(EngineFault.SLOW);
    CompletableFuture<HttpResponse<String>> running =
        CompletableFuture.supplyAsync(() -> unchecked(0, "/stream/x"));
    Fleet.await(() -> !model.executedRequests().isEmpty());

    fleet.box(0).stop();

    assertThat(running.get().body()).contains("piece " + FleetEngine.EVENTS);
  }

  private int status(int box) {
    try {
      return fleet.post(box, "/staged/x", STAGED).statusCode();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private HttpResponse<String> unchecked(int box, String path) {
    try {
      return fleet.post(box, path, WITH_KEY);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
