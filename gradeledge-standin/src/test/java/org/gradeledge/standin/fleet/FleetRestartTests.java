package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Upstreams start again under their ids, and something else writes into their list. */
@Timeout(60)
class FleetRestartTests {

  private static final String[] WITH_KEY = {"Authorization", "Bearer " + Fleet.KEY};
  private static final String[] STAGED = {
    "Authorization", "Bearer " + Fleet.KEY, "X-Pieces", "2,3", "X-Piece-Key", "pk"
  };
  private static final int BOXES = 2;

  private final Fleet fleet = new Fleet();
  private FleetEngine plain;
  private FleetEngine stage;

  @BeforeEach
  void start() throws Exception {
    plain = fleet.engine("plain", EngineKind.PLAIN);
    fleet.engine("model", EngineKind.STREAM);
    stage = fleet.engine("stage", EngineKind.STAGE);
    fleet.startBoxes(BOXES);
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  @Test
  void anUpstreamThatLeftServesAgainAsItsNextStart() throws Exception {
    assertThat(fleet.get(0, "/again/x", WITH_KEY).statusCode()).isEqualTo(200);
    fleet.store().put("servers", plain.id(), plain.row("plain", "zone-a", "draining"));
    Fleet.await(() -> fleet.get(0, "/again/x", WITH_KEY).statusCode() == 503);

    plain.restart();
    fleet.store().put("servers", plain.id(), plain.row("plain", "zone-a", "ready"));

    for (int box = 0; box < BOXES; box++) {
      int asked = box;
      Fleet.await(() -> fleet.get(asked, "/again/x", WITH_KEY).statusCode() == 200);
    }
    assertThat(plain.executedDuring(1)).isGreaterThanOrEqualTo(BOXES);
  }

  @Test
  void stageWorkIsDoneByTheNextStartOfItsUpstream() throws Exception {
    assertThat(fleet.post(0, "/staged/x", STAGED).statusCode()).isEqualTo(200);

    stage.restart();
    fleet.store().put("servers", stage.id(), stage.row("stage", "zone-a", "ready"));

    for (int box = 0; box < BOXES; box++) {
      int asked = box;
      Fleet.await(() -> fleet.post(asked, "/staged/x", STAGED).statusCode() == 200);
    }
    assertThat(stage.executedDuring(1)).isPositive();
  }

  @Test
  void aRowThatIsOverwrittenNamesNoUpstreamUntilItIsWholeAgain() throws Exception {
    fleet.store().put("servers", "other", "{\"service\":\"plain\",\"slots\":\"many\"}");
    assertThat(fleet.get(0, "/again/x", WITH_KEY).statusCode()).isEqualTo(200);

    fleet.store().put("servers", plain.id(), "{");
    Fleet.await(() -> fleet.get(0, "/again/x", WITH_KEY).statusCode() == 503);

    fleet.store().put("servers", plain.id(), plain.row("plain", "zone-a", "ready"));
    Fleet.await(() -> fleet.get(0, "/again/x", WITH_KEY).statusCode() == 200);
  }
}
