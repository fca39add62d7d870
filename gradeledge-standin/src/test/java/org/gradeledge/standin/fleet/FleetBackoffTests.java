package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.gradeledge.standin.fleet.EngineArrival.EngineAnnouncement;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An upstream turns requests away and says for how long it wants no more of them. */
@Timeout(120)
class FleetBackoffTests {

  private static final String[] WITH_KEY = {"Authorization", "Bearer " + Fleet.KEY};
  private static final String[] STAGED = {
    "Authorization", "Bearer " + Fleet.KEY, "X-Pieces", "2,3", "X-Piece-Key", "pk"
  };
  private static final int BOXES = 3;

  /** They take much longer than any pause that a box makes by itself. */
  private static final int REQUESTS = 1_500;

  private static final int CALLERS = 12;
  private static final int WAVES = 20;

  /** Longer than any test. */
  private static final String SECONDS = "600";

  /** What may come from one box all the same. */
  private static final long MOST = 2;

  private final Fleet fleet = new Fleet();

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  // Guards against requests at an upstream within the time for which it wants none (BUDGET).
  @Test
  void noBoxSendsMoreWithinTheTimeThatItWasTold() throws Exception {
    FleetEngine busy = fleet.engine("plain", EngineKind.PLAIN);
    fleet.engine("plain", EngineKind.PLAIN);
    startBoxes();
    busy.announcements().announceBackoff(SECONDS);

    for (int number = 0; number < REQUESTS; number++) {
      assertThat(get(number % BOXES).statusCode()).isEqualTo(200);
    }

    for (int box = 0; box < BOXES; box++) {
      assertThat(busy.announcements().hasAnnounced(EngineAnnouncement.BACKOFF, path(box))).isTrue();
      assertThat(busy.announcements().requestCountAfter(EngineAnnouncement.BACKOFF, path(box)))
          .isLessThanOrEqualTo(MOST);
    }
  }

  // Guards against stage work at an upstream within the time for which it wants none (BUDGET).
  @Test
  void noStageWorkIsGivenToOneWithinThatTime() throws Exception {
    fleet.engine("model", EngineKind.STREAM);
    FleetEngine busy = fleet.engine("stage", EngineKind.STAGE);
    startBoxes();
    busy.announcements().announceBackoff(SECONDS);

    Fleet.await(
        () -> {
          fleet.atOnce(CALLERS, this::refused);
          return busy.announcements().hasAnnounced(EngineAnnouncement.BACKOFF, "/stage-run");
        });
    long before = busy.announcements().requestCount("/stage-");

    for (int wave = 0; wave < WAVES; wave++) {
      fleet.atOnce(CALLERS, this::refused);
    }

    assertThat(busy.announcements().requestCount("/stage-") - before).isLessThanOrEqualTo(MOST);
  }

  // Guards against requests within that time once the upstream's entry has gone and come back.
  @Test
  void theTimeHoldsThoughItsEntryGoesAndComesBack() throws Exception {
    FleetEngine busy = fleet.engine("plain", EngineKind.PLAIN);
    fleet.engine("plain", EngineKind.PLAIN);
    startBoxes();
    busy.announcements().announceBackoff(SECONDS);
    for (int box = 0; box < BOXES; box++) {
      int asked = box;
      Fleet.await(
          () ->
              get(asked).statusCode() == 200
                  && busy.announcements().hasAnnounced(EngineAnnouncement.BACKOFF, path(asked)));
    }

    for (int time = 0; time <= MOST; time++) {
      fleet.store().remove("servers", busy.id());
      awaitSeenByAll(fleet.engine("plain", EngineKind.PLAIN));
      fleet.list(busy, "ready");
      awaitSeenByAll(fleet.engine("plain", EngineKind.PLAIN));
      for (int number = 0; number < REQUESTS / MOST; number++) {
        assertThat(get(number % BOXES).statusCode()).isEqualTo(200);
      }
    }
    for (int box = 0; box < BOXES; box++) {
      assertThat(busy.announcements().requestCountAfter(EngineAnnouncement.BACKOFF, path(box)))
          .isLessThanOrEqualTo(MOST);
    }
  }

  /** Once an engine is used that was listed afterwards, what was written before is known. */
  private void awaitSeenByAll(FleetEngine engine) throws Exception {
    for (int box = 0; box < BOXES; box++) {
      int asked = box;
      Fleet.await(
          () ->
              get(asked).statusCode() == 200
                  && engine.announcements().requestCount(path(asked)) > 0);
    }
  }

  private void startBoxes() throws Exception {
    fleet.startBoxes(BOXES);
    fleet.awaitMet();
  }

  private void refused(int caller) throws Exception {
    assertThat(fleet.post(caller % BOXES, "/staged/x", STAGED).statusCode()).isEqualTo(503);
  }

  /** Requests of one box can be told from those of others by their path. */
  private static String path(int box) {
    return "/again/box-" + box;
  }

  private HttpResponse<String> get(int box) throws Exception {
    return fleet.get(box, path(box), WITH_KEY);
  }
}
