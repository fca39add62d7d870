package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Seen: one request ended more than twenty upstreams, one after the other, and each that ended took
 * the other requests along that ran there.
 *
 * <p>How it came about: each upstream that began to run it crashed. The box sent it to the next
 * one, as it may be repeated; its caller sent it again, to any box, under another id, and every
 * time it was new to whoever took it.
 *
 * <p>Cause: what a request has done was known for as long as one try of its caller lasts, to one
 * box. Proof: the count of upstreams that ended under it, however often and wherever it comes.
 */
@Timeout(120)
class FleetCrashingRequestTests {

  private static final String[] AUTHORIZATION = {"Authorization", "Bearer " + Fleet.API_KEY};
  private static final String CRASHING_BODY = "ends whoever runs it";
  private static final int BOXES = 3;
  private static final int UPSTREAMS = 12;
  private static final int ATTEMPTS = 12;

  /** Three prove it; three more are what may be under way until all boxes know. */
  private static final int MAX_CRASHES = 6;

  private final Fleet fleet = new Fleet();
  private final List<FleetEngine> upstreams = new ArrayList<>();

  @BeforeEach
  void start() throws Exception {
    for (int number = 0; number < UPSTREAMS; number++) {
      FleetEngine upstream = fleet.addEngine("model", EngineKind.STREAM);
      upstream.crashOn(CRASHING_BODY);
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
    for (int arrival = 0; arrival < ATTEMPTS; arrival++) {
      send(arrival % BOXES, CRASHING_BODY);
    }

    assertThat(crashCount()).isLessThanOrEqualTo(MAX_CRASHES);
    assertThat(send(0, CRASHING_BODY).statusCode()).isEqualTo(503);
    assertThat(send(1, "innocent").statusCode()).isEqualTo(200);
  }

  @Test
  void keepsQuarantineAfterAllBoxesCrash() throws Exception {
    for (int arrival = 0; arrival < ATTEMPTS; arrival++) {
      send(arrival % BOXES, CRASHING_BODY);
    }
    long before = crashCount();
    fleet.killAllBoxes();
    startBoxes();

    for (int arrival = 0; arrival < ATTEMPTS; arrival++) {
      send(arrival % BOXES, CRASHING_BODY);
    }

    assertThat(before).isLessThanOrEqualTo(MAX_CRASHES);
    assertThat(crashCount()).isEqualTo(before);
    assertThat(send(1, "innocent").statusCode()).isEqualTo(200);
  }

  @Test
  void doesNotQuarantineSameBodyOnAnotherPath() throws Exception {
    for (int arrival = 0; arrival < ATTEMPTS; arrival++) {
      send(arrival % BOXES, CRASHING_BODY);
    }
    upstreams.forEach(upstream -> upstream.crashOn("nothing"));

    HttpResponse<String> answer = fleet.postBody(0, "/resume/y", CRASHING_BODY, AUTHORIZATION);

    assertThat(answer.statusCode()).isEqualTo(200);
  }

  private HttpResponse<String> send(int box, String body) throws Exception {
    return fleet.postBody(box, "/resume/x", body, AUTHORIZATION);
  }

  private long crashCount() {
    return upstreams.stream().filter(FleetEngine::isDown).count();
  }
}
