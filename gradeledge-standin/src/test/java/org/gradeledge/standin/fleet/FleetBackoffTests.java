package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.gradeledge.standin.fleet.EngineArrival.EngineAnnouncement;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that boxes keep the backoff that an upstream requests. */
@Timeout(120)
class FleetBackoffTests {

  private static final String[] AUTHORIZATION = {"Authorization", "Bearer " + Fleet.API_KEY};
  private static final String[] STAGE_HEADERS = {
    "Authorization", "Bearer " + Fleet.API_KEY, "X-Pieces", "2,3", "X-Piece-Key", "pk"
  };
  private static final int BOXES = 3;

  /** Enough to take longer than the backoff that a box applies by default. */
  private static final int REQUESTS = 1_500;

  private static final int CALLERS = 12;
  private static final int ROUNDS = 20;

  /** Longer than the time limit of a test. */
  private static final String BACKOFF_SECONDS = "600";

  /** Requests that one box may send despite the backoff. */
  private static final long MAX_LATE_REQUESTS = 2;

  private final Fleet fleet = new Fleet();

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  // Guards against requests to an upstream during its backoff.
  @Test
  void sendsNoRequestsDuringBackoff() throws Exception {
    FleetEngine backingOff = fleet.addEngine("plain", EngineKind.PLAIN);
    fleet.addEngine("plain", EngineKind.PLAIN);
    startBoxes();
    backingOff.announcements().announceBackoff(BACKOFF_SECONDS);

    for (int number = 0; number < REQUESTS; number++) {
      assertThat(get(number % BOXES).statusCode()).isEqualTo(200);
    }

    for (int box = 0; box < BOXES; box++) {
      assertThat(backingOff.announcements().hasAnnounced(EngineAnnouncement.BACKOFF, path(box)))
          .isTrue();
      assertThat(
              backingOff.announcements().requestCountAfter(EngineAnnouncement.BACKOFF, path(box)))
          .isLessThanOrEqualTo(MAX_LATE_REQUESTS);
    }
  }

  // Guards against stage work for an upstream during its backoff.
  @Test
  void sendsNoStageWorkDuringBackoff() throws Exception {
    fleet.addEngine("model", EngineKind.STREAM);
    FleetEngine backingOff = fleet.addEngine("stage", EngineKind.STAGE);
    startBoxes();
    backingOff.announcements().announceBackoff(BACKOFF_SECONDS);

    Fleet.await(
        () -> {
          fleet.runConcurrently(CALLERS, this::sendRefusedRequest);
          return backingOff.announcements().hasAnnounced(EngineAnnouncement.BACKOFF, "/stage-run");
        });
    long before = backingOff.announcements().requestCount("/stage-");

    for (int round = 0; round < ROUNDS; round++) {
      fleet.runConcurrently(CALLERS, this::sendRefusedRequest);
    }

    assertThat(backingOff.announcements().requestCount("/stage-") - before)
        .isLessThanOrEqualTo(MAX_LATE_REQUESTS);
  }

  // Guards against losing the backoff when the entry of the upstream is removed and added again.
  @Test
  void keepsBackoffWhenEntryIsRemovedAndAddedAgain() throws Exception {
    FleetEngine backingOff = fleet.addEngine("plain", EngineKind.PLAIN);
    fleet.addEngine("plain", EngineKind.PLAIN);
    startBoxes();
    backingOff.announcements().announceBackoff(BACKOFF_SECONDS);
    for (int box = 0; box < BOXES; box++) {
      int boxIndex = box;
      Fleet.await(
          () ->
              get(boxIndex).statusCode() == 200
                  && backingOff
                      .announcements()
                      .hasAnnounced(EngineAnnouncement.BACKOFF, path(boxIndex)));
    }

    for (int repetition = 0; repetition <= MAX_LATE_REQUESTS; repetition++) {
      fleet.store().remove("servers", backingOff.id());
      awaitUsedByAllBoxes(fleet.addEngine("plain", EngineKind.PLAIN));
      fleet.putServerRow(backingOff, "ready");
      awaitUsedByAllBoxes(fleet.addEngine("plain", EngineKind.PLAIN));
      for (int number = 0; number < REQUESTS / MAX_LATE_REQUESTS; number++) {
        assertThat(get(number % BOXES).statusCode()).isEqualTo(200);
      }
    }
    for (int box = 0; box < BOXES; box++) {
      assertThat(
              backingOff.announcements().requestCountAfter(EngineAnnouncement.BACKOFF, path(box)))
          .isLessThanOrEqualTo(MAX_LATE_REQUESTS);
    }
  }

  /** Waits until all boxes use the engine, and so have read all earlier writes to the store. */
  private void awaitUsedByAllBoxes(FleetEngine engine) throws Exception {
    for (int box = 0; box < BOXES; box++) {
      int boxIndex = box;
      Fleet.await(
          () ->
              get(boxIndex).statusCode() == 200
                  && engine.announcements().requestCount(path(boxIndex)) > 0);
    }
  }

  private void startBoxes() throws Exception {
    fleet.startBoxes(BOXES);
    fleet.awaitPeersConnected();
  }

  private void sendRefusedRequest(int caller) throws Exception {
    assertThat(fleet.post(caller % BOXES, "/staged/x", STAGE_HEADERS).statusCode()).isEqualTo(503);
  }

  /** Returns a path that identifies the box that forwarded a request. */
  private static String path(int box) {
    return "/again/box-" + box;
  }

  private HttpResponse<String> get(int box) throws Exception {
    return fleet.get(box, path(box), AUTHORIZATION);
  }
}
