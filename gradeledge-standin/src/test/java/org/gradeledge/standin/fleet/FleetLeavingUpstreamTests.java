package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.stream.IntStream;
import org.gradeledge.standin.fleet.EngineArrival.EngineAnnouncement;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An upstream says in its answers that it leaves, while its entry says nothing of it. */
@Timeout(120)
class FleetLeavingUpstreamTests {

  private static final String[] WITH_KEY = {"Authorization", "Bearer " + Fleet.KEY};
  private static final String[] STAGED = {
    "Authorization", "Bearer " + Fleet.KEY, "X-Pieces", "2,3", "X-Piece-Key", "pk"
  };
  private static final int BOXES = 3;
  private static final int REQUESTS = 120;
  private static final int CALLERS = 12;
  private static final int WAVES = 10;

  private final Fleet fleet = new Fleet();

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  // Guards against requests at an upstream whose answers have said that it leaves (DRAIN).
  @Test
  void noBoxSendsMoreOnceItHasPassedOnAnAnswerThatSaysSo() throws Exception {
    FleetEngine leaving = fleet.engine("plain", EngineKind.PLAIN);
    fleet.engine("plain", EngineKind.PLAIN);
    startBoxes();
    fleet.store().setFault(StoreFault.SILENT);
    leaving.announcements().announceLeaving("1");
    awaitAllKnow(leaving);
    List<Long> before = cameFromEach(leaving);

    for (int number = 0; number < REQUESTS; number++) {
      assertThat(get(number % BOXES)).isTrue();
    }

    assertThat(cameFromEach(leaving)).isEqualTo(before);
  }

  // Guards against stage work at an upstream whose answers have said that it leaves (DRAIN).
  @Test
  void noStageWorkIsGivenToOneThatHasSaidSo() throws Exception {
    fleet.engine("model", EngineKind.STREAM);
    FleetEngine leaving = fleet.engine("stage", EngineKind.STAGE);
    fleet.engine("stage", EngineKind.STAGE);
    startBoxes();
    fleet.store().setFault(StoreFault.SILENT);
    leaving.announcements().announceLeaving("1");
    Fleet.await(
        () -> {
          fleet.atOnce(CALLERS, this::staged);
          return leaving.announcements().hasAnnounced(EngineAnnouncement.LEAVING, "/stage-");
        });
    long before = leaving.announcements().requestCount("/stage-run");

    for (int wave = 0; wave < WAVES; wave++) {
      fleet.atOnce(CALLERS, this::staged);
    }

    assertThat(leaving.announcements().requestCount("/stage-run")).isEqualTo(before);
  }

  // Guards against an upstream that has said so being used again for what an older entry says.
  @Test
  void anEntryThatStillSaysReadyDoesNotBringItBackButItsNextStartServes() throws Exception {
    FleetEngine leaving = fleet.engine("plain", EngineKind.PLAIN);
    fleet.engine("plain", EngineKind.PLAIN);
    startBoxes();
    leaving.announcements().announceLeaving("1");
    awaitAllKnow(leaving);
    List<Long> before = cameFromEach(leaving);
    fleet.list(leaving, "ready");
    FleetEngine witness = fleet.engine("plain", EngineKind.PLAIN);
    for (int box = 0; box < BOXES; box++) {
      int asked = box;
      Fleet.await(() -> get(asked) && witness.announcements().requestCount(path(asked)) > 0);
    }

    for (int number = 0; number < REQUESTS; number++) {
      assertThat(get(number % BOXES)).isTrue();
    }
    assertThat(cameFromEach(leaving)).isEqualTo(before);

    leaving.announcements().withdraw();
    leaving.restart();
    fleet.list(leaving, "ready");
    for (int box = 0; box < BOXES; box++) {
      int asked = box;
      long then = leaving.announcements().requestCount(path(asked));
      Fleet.await(() -> get(asked) && leaving.announcements().requestCount(path(asked)) > then);
    }
  }

  private void startBoxes() throws Exception {
    fleet.startBoxes(BOXES);
    fleet.awaitMet();
  }

  /** Waits until each box has passed on an answer that says so, or was told by one that has. */
  private void awaitAllKnow(FleetEngine leaving) throws Exception {
    for (int box = 0; box < BOXES; box++) {
      int asked = box;
      Fleet.await(
          () ->
              get(asked)
                  && (leaving.announcements().hasAnnounced(EngineAnnouncement.LEAVING, path(asked))
                      || fleet.hasLogged(asked, "upstream-announces-leaving")));
    }
  }

  private static List<Long> cameFromEach(FleetEngine engine) {
    return IntStream.range(0, BOXES)
        .mapToObj(box -> engine.announcements().requestCount(path(box)))
        .toList();
  }

  /** Requests of one box can be told from those of others by their path. */
  private static String path(int box) {
    return "/again/box-" + box;
  }

  private boolean get(int box) throws Exception {
    HttpResponse<String> answer = fleet.get(box, path(box), WITH_KEY);
    return answer.statusCode() == 200;
  }

  private void staged(int caller) throws Exception {
    assertThat(fleet.post(caller % BOXES, "/staged/x", STAGED).statusCode()).isEqualTo(200);
  }
}
