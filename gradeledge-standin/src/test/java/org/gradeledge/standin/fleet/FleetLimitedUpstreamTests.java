package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Seen: two upstreams that had said how few requests a second they take from all boxes together got
 * twice as many, from seven of eight boxes, none of which sent more than three.
 *
 * <p>How it came about: they named their limits in a quiet moment, in which what came by itself was
 * below them. Eight seconds later there was twice as much to do, and they got as much of it as any
 * other upstream of their service.
 *
 * <p>Cause: no box read what they said. Nothing that sends (first tries, retries, calls for stage
 * work, releases of results) asked how many requests an upstream takes, but for first tries to cold
 * ones. Proof: the most requests that an upstream gets in 4 s, whoever sends them and whatever for;
 * 24 to 181 where 11 are allowed.
 */
@Timeout(120)
class FleetLimitedUpstreamTests {

  private static final String[] AUTHORIZATION = {"Authorization", "Bearer " + Fleet.API_KEY};
  private static final String[] STAGE_HEADERS = {
    "Authorization", "Bearer " + Fleet.API_KEY, "X-Pieces", "2,3", "X-Piece-Key", "pk"
  };
  private static final int BOXES = 3;
  private static final int REQUESTS = 60;

  /** Three calls and releases or more for each. */
  private static final int STAGED_REQUESTS = 30;

  /** One and a half times what a limit of one a second allows in 4 s, and 5. */
  private static final long MAX_IN_WINDOW = 11;

  /** The same of ten a second. */
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
    limited.limit().name("1");
    startBoxes();

    for (int number = 0; number < REQUESTS; number++) {
      assertThat(get(number).statusCode()).isEqualTo(200);
    }

    assertThat(limited.limit().mostInWindowAfter(0)).isLessThanOrEqualTo(MAX_IN_WINDOW);
  }

  @Test
  void refusesExcessRequestsWithRetryAfter() throws Exception {
    FleetEngine limited = fleet.addEngine("plain", EngineKind.PLAIN);
    limited.limit().name("1.0");
    startBoxes();

    HttpResponse<String> last = get(0);
    for (int number = 1; number < REQUESTS; number++) {
      last = get(number);
    }

    assertThat(last.statusCode()).isEqualTo(503);
    assertThat(last.headers().firstValue("Retry-After")).isPresent();
    assertThat(limited.limit().mostInWindowAfter(0)).isLessThanOrEqualTo(MAX_IN_WINDOW);
  }

  @Test
  void countsStageCallsAndReleases() throws Exception {
    fleet.addEngine("model", EngineKind.STREAM);
    FleetEngine limited = fleet.addEngine("stage", EngineKind.STAGE);
    limited.limit().name("10");
    startBoxes();

    int served = 0;
    for (int number = 0; number < STAGED_REQUESTS; number++) {
      served += fleet.post(number % BOXES, "/staged/x", STAGE_HEADERS).statusCode() == 200 ? 1 : 0;
    }

    assertThat(served).isPositive();
    assertThat(limited.limit().mostInWindowAfter(0))
        .isLessThanOrEqualTo(MAX_IN_WINDOW_AT_TEN_PER_SECOND);
  }

  @Test
  void sendsAllRequestsOnceLimitIsWithdrawn() throws Exception {
    FleetEngine limited = fleet.addEngine("plain", EngineKind.PLAIN);
    limited.limit().name("0.5");
    startBoxes();
    for (int number = 0; number < REQUESTS; number++) {
      get(number);
    }
    assertThat(limited.limit().mostInWindowAfter(0)).isLessThanOrEqualTo(MAX_IN_WINDOW);

    limited.limit().withdraw();

    for (int box = 0; box < BOXES; box++) {
      int asked = box;
      Fleet.await(() -> get(asked).statusCode() == 200 && get(asked).statusCode() == 200);
    }
  }

  private void startBoxes() throws Exception {
    fleet.startBoxes(BOXES);
    fleet.awaitPeersConnected();
  }

  private HttpResponse<String> get(int number) throws Exception {
    return fleet.get(number % BOXES, "/again/x", AUTHORIZATION);
  }
}
