package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a request that crashes one upstream after another, through any box. */
@Timeout(120)
class FleetCrashingRequestTests {

  private static final String[] AUTHORIZATION = {"Authorization", "Bearer " + Fleet.API_KEY};
  private static final String CRASHING_BODY = "ends whoever runs it";
  private static final int BOXES = 3;
  private static final int UPSTREAMS = 12;
  private static final int ATTEMPTS = 12;

  /** Three crashes before the quarantine, and three requests in flight until all boxes apply it. */
  private static final int MAX_CRASHES = 6;

  private final Fleet fleet = new Fleet();
  private final List<FleetEngine> upstreams = new ArrayList<>();

  @BeforeEach
  void start() throws Exception {
    for (int number = 0; number < UPSTREAMS; number++) {
      FleetEngine upstream = fleet.addEngine("model", EngineKind.STREAM);
      upstream.crashTriggers().setBody(CRASHING_BODY);
      upstreams.add(upstream);
    }
    startBoxes();
  }

  private void startBoxes() throws Exception {
    fleet.startBoxes(BOXES);
    fleet.awaitPeersConnected();
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  @Test
  void quarantinesCrashingRequestOnAllBoxes() throws Exception {
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      send(attempt % BOXES, CRASHING_BODY);
    }

    assertThat(crashCount()).isLessThanOrEqualTo(MAX_CRASHES);
    assertThat(send(0, CRASHING_BODY).statusCode()).isEqualTo(503);
    assertThat(send(1, "innocent").statusCode()).isEqualTo(200);
  }

  @Test
  void keepsQuarantineAfterAllBoxesCrash() throws Exception {
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      send(attempt % BOXES, CRASHING_BODY);
    }
    long before = crashCount();
    fleet.killAllBoxes();
    startBoxes();

    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      send(attempt % BOXES, CRASHING_BODY);
    }

    assertThat(before).isLessThanOrEqualTo(MAX_CRASHES);
    assertThat(crashCount()).isEqualTo(before);
    assertThat(send(1, "innocent").statusCode()).isEqualTo(200);
  }

  @Test
  void doesNotQuarantineSameBodyOnAnotherPath() throws Exception {
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      send(attempt % BOXES, CRASHING_BODY);
    }
    upstreams.forEach(upstream -> upstream.crashTriggers().setBody("nothing"));

    HttpResponse<String> response = fleet.postBody(0, "/resume/y", CRASHING_BODY, AUTHORIZATION);

    assertThat(response.statusCode()).isEqualTo(200);
  }

  private HttpResponse<String> send(int box, String body) throws Exception {
    return fleet.postBody(box, "/resume/x", body, AUTHORIZATION);
  }

  private long crashCount() {
    return upstreams.stream().filter(FleetEngine::isDown).count();
  }
}
