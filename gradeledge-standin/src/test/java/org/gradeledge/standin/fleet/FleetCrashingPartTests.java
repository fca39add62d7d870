package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a part of prompts that crashes one upstream after another, through any box. */
@Timeout(120)
class FleetCrashingPartTests {

  private static final String CRASHING_PART = "bad0";
  private static final int BOXES = 3;
  private static final int UPSTREAMS = 16;
  private static final int ATTEMPTS = 14;

  /** The fifth crash, and three requests after it. */
  private static final int MAX_CRASHES = 8;

  private final Fleet fleet = new Fleet();
  private final List<FleetEngine> upstreams = new ArrayList<>();
  private int requests;

  @BeforeEach
  void start() throws Exception {
    for (int number = 0; number < UPSTREAMS; number++) {
      FleetEngine upstream = fleet.addEngine("model", EngineKind.STREAM);
      upstream.crashTriggers().setPart(CRASHING_PART);
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
  void barsCrashingPartOnAllBoxes() throws Exception {
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      send(attempt % BOXES, CRASHING_PART);
    }

    assertThat(crashCount()).isLessThanOrEqualTo(MAX_CRASHES);
    HttpResponse<String> refused = send(0, CRASHING_PART);
    assertThat(refused.statusCode()).isEqualTo(503);
    assertThat(refused.body()).contains(CRASHING_PART).contains("not run");
  }

  @Test
  void servesRequestsThatShareOtherParts() throws Exception {
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      send(attempt % BOXES, CRASHING_PART);
      send(attempt % BOXES, "900d");
    }

    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      assertThat(send(attempt % BOXES, "900d").statusCode()).isEqualTo(200);
      assertThat(send(attempt % BOXES, "900e").statusCode()).isEqualTo(200);
    }
    assertThat(crashCount()).isLessThanOrEqualTo(MAX_CRASHES);
  }

  @Test
  void keepsPartBarredAfterAllBoxesCrash() throws Exception {
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      send(attempt % BOXES, CRASHING_PART);
    }
    long before = crashCount();
    fleet.killAllBoxes();
    startBoxes();

    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      send(attempt % BOXES, CRASHING_PART);
    }

    assertThat(before).isLessThanOrEqualTo(MAX_CRASHES);
    assertThat(crashCount()).isEqualTo(before);
    assertThat(send(1, "900d").statusCode()).isEqualTo(200);
  }

  /** Sends a request unlike any other whose prompt has a part. */
  private HttpResponse<String> send(int box, String part) throws Exception {
    int number = requests++;
    String prompt = "5a:800," + part + ":250," + Integer.toHexString(0x100 + number) + ":40";
    return fleet.postBody(
        box,
        "/resume/x",
        "request " + number,
        "Authorization",
        "Bearer " + Fleet.API_KEY,
        "X-Prompt-Prefix",
        prompt);
  }

  private long crashCount() {
    return upstreams.stream().filter(FleetEngine::isDown).count();
  }
}
