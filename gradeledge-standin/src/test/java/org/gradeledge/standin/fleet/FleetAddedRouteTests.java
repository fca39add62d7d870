package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests routes that are added while boxes run. */
@Timeout(60)
class FleetAddedRouteTests {

  private static final int REQUESTS = 8;

  private static final String[] HEADERS = {
    "Authorization", "Bearer " + Fleet.API_KEY, "X-Pieces", "2", "X-Piece-Key", "7c1e07a291bd"
  };

  private final Fleet fleet = new Fleet();

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  // Guards against an added route whose requests are refused by a guess that nothing corrects.
  @ParameterizedTest
  @EnumSource
  void isServedByIdleUpstreams(SoakRouteForm form) throws Exception {
    fleet.addEngine("plain", EngineKind.PLAIN);
    fleet.addEngine("stage", EngineKind.STAGE);
    fleet.addEngine("model", EngineKind.STREAM);
    fleet.startBoxes(1);
    fleet.configure(2, "," + form.routeWithTarget("/added/"));
    Fleet.await(() -> fleet.post(0, "/added/x", HEADERS).statusCode() != 404);

    for (int request = 0; request < REQUESTS; request++) {
      assertThat(fleet.post(0, "/added/x", HEADERS).statusCode()).isEqualTo(200);
    }
  }
}
