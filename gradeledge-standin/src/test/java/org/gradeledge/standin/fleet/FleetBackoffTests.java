package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.gradeledge.standin.fleet.EngineArrival.Answer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An upstream turns requests away and says for how long it wants no more of them. */
@Timeout(120)
class FleetBackoffTests {

  private static final String[] AUTHORIZATION = {"Authorization", "Bearer " + Fleet.API_KEY};
  private static final String[] STAGE_HEADERS = {
    "Authorization", "Bearer " + Fleet.API_KEY, "X-Pieces", "2,3", "X-Piece-Key", "pk"
  };
  private static final int BOXES = 3;

  /** They take much longer than any pause that a box makes by itself. */
  private static final int REQUESTS = 1_500;

  private static final int CALLERS = 12;
  private static final int ROUNDS = 20;

  /** Longer than any test. */
  private static final String BACKOFF_SECONDS = "600";

  /** What may come from one box all the same. */
  private static final long MAX_LATE_REQUESTS = 2;

  private final Fleet fleet = new Fleet();

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  // Guards against requests at an upstream within the time for which it wants none (BUDGET).
  @Test
  void sendsNoRequestsDuringBackoff() throws Exception {
    FleetEngine busy = fleet.addEngine("plain", EngineKind.PLAIN);
    fleet.addEngine("plain", EngineKind.PLAIN);
    startBoxes();
    busy.signals().turnAway(BACKOFF_SECONDS);

    for (int number = 0; number < REQUESTS; number++) {
      assertThat(get(number % BOXES).statusCode()).isEqualTo(200);
    }

    for (int box = 0; box < BOXES; box++) {
      assertThat(busy.signals().hasAnswered(Answer.BACKOFF, path(box))).isTrue();
      assertThat(busy.signals().cameAfter(Answer.BACKOFF, path(box)))
          .isLessThanOrEqualTo(MAX_LATE_REQUESTS);
    }
  }

  // Guards against stage work at an upstream within the time for which it wants none (BUDGET).
  @Test
  void sendsNoStageWorkDuringBackoff() throws Exception {
    fleet.addEngine("model", EngineKind.STREAM);
    FleetEngine busy = fleet.addEngine("stage", EngineKind.STAGE);
    startBoxes();
    busy.signals().turnAway(BACKOFF_SECONDS);

    Fleet.await(
        () -> {
          fleet.runConcurrently(CALLERS, this::sendRefusedRequest);
          return busy.signals().hasAnswered(Answer.BACKOFF, "/stage-run");
        });
    long before = busy.signals().came("/stage-");

    for (int wave = 0; wave < ROUNDS; wave++) {
      fleet.runConcurrently(CALLERS, this::sendRefusedRequest);
    }

    assertThat(busy.signals().came("/stage-") - before).isLessThanOrEqualTo(MAX_LATE_REQUESTS);
  }

  // Guards against requests within that time once the upstream's entry has gone and come back.
  @Test
  void keepsBackoffWhenEntryIsRemovedAndAddedAgain() throws Exception {
    FleetEngine busy = fleet.addEngine("plain", EngineKind.PLAIN);
    fleet.addEngine("plain", EngineKind.PLAIN);
    startBoxes();
    busy.signals().turnAway(BACKOFF_SECONDS);
    for (int box = 0; box < BOXES; box++) {
      int asked = box;
      Fleet.await(
          () ->
              get(asked).statusCode() == 200
                  && busy.signals().hasAnswered(Answer.BACKOFF, path(asked)));
    }

    for (int time = 0; time <= MAX_LATE_REQUESTS; time++) {
      fleet.store().remove("servers", busy.id());
      awaitUsedByAllBoxes(fleet.addEngine("plain", EngineKind.PLAIN));
      fleet.putServerRow(busy, "ready");
      awaitUsedByAllBoxes(fleet.addEngine("plain", EngineKind.PLAIN));
      for (int number = 0; number < REQUESTS / MAX_LATE_REQUESTS; number++) {
        assertThat(get(number % BOXES).statusCode()).isEqualTo(200);
      }
    }
    for (int box = 0; box < BOXES; box++) {
      assertThat(busy.signals().cameAfter(Answer.BACKOFF, path(box)))
          .isLessThanOrEqualTo(MAX_LATE_REQUESTS);
    }
  }

  /** Once an engine is used that was listed afterwards, what was written before is known. */
  private void awaitUsedByAllBoxes(FleetEngine engine) throws Exception {
    for (int box = 0; box < BOXES; box++) {
      int asked = box;
      Fleet.await(() -> get(asked).statusCode() == 200 && engine.signals().came(path(asked)) > 0);
    }
  }

  private void startBoxes() throws Exception {
    fleet.startBoxes(BOXES);
    fleet.awaitPeersConnected();
  }

  private void sendRefusedRequest(int caller) throws Exception {
    assertThat(fleet.post(caller % BOXES, "/staged/x", STAGE_HEADERS).statusCode()).isEqualTo(503);
  }

  /** Requests of one box can be told from those of others by their path. */
  private static String path(int box) {
    return "/again/box-" + box;
  }

  private HttpResponse<String> get(int box) throws Exception {
    return fleet.get(box, path(box), AUTHORIZATION);
  }
}
