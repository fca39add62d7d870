package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against exceeding the request rate limit that an upstream announces for all boxes. */
@Timeout(120)
class FleetLimitedUpstreamTests {

  private static final String[] AUTHORIZATION = {"Authorization", "Bearer " + Fleet.API_KEY};
  private static final String[] STAGE_HEADERS = {
    "Authorization", "Bearer " + Fleet.API_KEY, "X-Pieces", "2,3", "X-Piece-Key", "pk"
  };
  private static final int BOXES = 3;
  private static final int REQUESTS = 60;

  /** Each causes at least three stage calls and releases. */
  private static final int STAGED_REQUESTS = 30;

  /** Requests allowed in 4 s at a limit of one a second: one and a half times the limit plus 5. */
  private static final long MAX_IN_WINDOW = 11;

  /** Requests allowed in 4 s at a limit of ten a second. */
  private static final long MAX_IN_WINDOW_AT_TEN_PER_SECOND = 65;

  private final Fleet fleet = new Fleet();

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  @Test
  void keepsLimitAcrossAllBoxes() throws Exception {
    FleetEngine limited = fleet.addEngine("plain", EngineKind.PLAIN);
    fleet.addEngine("plain", EngineKind.PLAIN);
    limited.rateLimit().announce("1");
    startBoxes();

    for (int number = 0; number < REQUESTS; number++) {
      assertThat(get(number).statusCode()).isEqualTo(200);
    }

    assertThat(limited.rateLimit().maxInWindowAfter(0)).isLessThanOrEqualTo(MAX_IN_WINDOW);
  }

  @Test
  void refusesExcessRequestsWithRetryAfter() throws Exception {
    FleetEngine limited = fleet.addEngine("plain", EngineKind.PLAIN);
    limited.rateLimit().announce("1.0");
    startBoxes();

    HttpResponse<String> last = get(0);
    for (int number = 1; number < REQUESTS; number++) {
      last = get(number);
    }

    assertThat(last.statusCode()).isEqualTo(503);
    assertThat(last.headers().firstValue("Retry-After")).isPresent();
    assertThat(limited.rateLimit().maxInWindowAfter(0)).isLessThanOrEqualTo(MAX_IN_WINDOW);
  }

  @Test
  void countsStageCallsAndReleases() throws Exception {
    fleet.addEngine("model", EngineKind.STREAM);
    FleetEngine limited = fleet.addEngine("stage", EngineKind.STAGE);
    limited.rateLimit().announce("10");
    startBoxes();

    int served = 0;
    for (int number = 0; number < STAGED_REQUESTS; number++) {
      served += fleet.post(number % BOXES, "/staged/x", STAGE_HEADERS).statusCode() == 200 ? 1 : 0;
    }

    assertThat(served).isPositive();
    assertThat(limited.rateLimit().maxInWindowAfter(0))
        .isLessThanOrEqualTo(MAX_IN_WINDOW_AT_TEN_PER_SECOND);
  }

  @Test
  void sendsAllRequestsOnceLimitIsWithdrawn() throws Exception {
    FleetEngine limited = fleet.addEngine("plain", EngineKind.PLAIN);
    limited.rateLimit().announce("0.5");
    startBoxes();
    for (int number = 0; number < REQUESTS; number++) {
      get(number);
    }
    assertThat(limited.rateLimit().maxInWindowAfter(0)).isLessThanOrEqualTo(MAX_IN_WINDOW);

    limited.rateLimit().withdraw();

    for (int box = 0; box < BOXES; box++) {
      int boxIndex = box;
      Fleet.await(() -> get(boxIndex).statusCode() == 200 && get(boxIndex).statusCode() == 200);
    }
  }

  private void startBoxes() throws Exception {
    fleet.startBoxes(BOXES);
    fleet.awaitPeersConnected();
  }

  private HttpResponse<String> get(int requestNumber) throws Exception {
    return fleet.get(requestNumber % BOXES, "/again/x", AUTHORIZATION);
  }
}
