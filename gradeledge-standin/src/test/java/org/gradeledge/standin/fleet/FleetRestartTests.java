package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests upstreams that restart under the same id, and invalid rows in the list of upstreams. */
@Timeout(60)
class FleetRestartTests {

  private static final String[] AUTHORIZATION = {"Authorization", "Bearer " + Fleet.API_KEY};
  private static final String[] STAGE_HEADERS = {
    "Authorization", "Bearer " + Fleet.API_KEY, "X-Pieces", "2,3", "X-Piece-Key", "pk"
  };
  private static final int BOXES = 2;

  private final Fleet fleet = new Fleet();
  private FleetEngine plain;
  private FleetEngine stage;

  @BeforeEach
  void start() throws Exception {
    plain = fleet.addEngine("plain", EngineKind.PLAIN);
    fleet.addEngine("model", EngineKind.STREAM);
    stage = fleet.addEngine("stage", EngineKind.STAGE);
    fleet.startBoxes(BOXES);
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  @Test
  void usesRestartedUpstreamAfterItLeft() throws Exception {
    assertThat(fleet.get(0, "/again/x", AUTHORIZATION).statusCode()).isEqualTo(200);
    fleet.store().put("servers", plain.id(), plain.row("plain", "zone-a", "draining"));
    Fleet.await(() -> fleet.get(0, "/again/x", AUTHORIZATION).statusCode() == 503);

    plain.restart();
    fleet.store().put("servers", plain.id(), plain.row("plain", "zone-a", "ready"));

    for (int box = 0; box < BOXES; box++) {
      int boxIndex = box;
      Fleet.await(() -> fleet.get(boxIndex, "/again/x", AUTHORIZATION).statusCode() == 200);
    }
    assertThat(plain.executedDuring(1)).isGreaterThanOrEqualTo(BOXES);
  }

  @Test
  void sendsStageWorkToRestartedUpstream() throws Exception {
    assertThat(fleet.post(0, "/staged/x", STAGE_HEADERS).statusCode()).isEqualTo(200);

    stage.restart();
    fleet.store().put("servers", stage.id(), stage.row("stage", "zone-a", "ready"));

    for (int box = 0; box < BOXES; box++) {
      int boxIndex = box;
      Fleet.await(() -> fleet.post(boxIndex, "/staged/x", STAGE_HEADERS).statusCode() == 200);
    }
    assertThat(stage.executedDuring(1)).isPositive();
  }

  @Test
  void ignoresUpstreamWhileItsRowIsInvalid() throws Exception {
    fleet.store().put("servers", "other", "{\"service\":\"plain\",\"slots\":\"many\"}");
    assertThat(fleet.get(0, "/again/x", AUTHORIZATION).statusCode()).isEqualTo(200);

    fleet.store().put("servers", plain.id(), "{");
    Fleet.await(() -> fleet.get(0, "/again/x", AUTHORIZATION).statusCode() == 503);

    fleet.store().put("servers", plain.id(), plain.row("plain", "zone-a", "ready"));
    Fleet.await(() -> fleet.get(0, "/again/x", AUTHORIZATION).statusCode() == 200);
  }
}
