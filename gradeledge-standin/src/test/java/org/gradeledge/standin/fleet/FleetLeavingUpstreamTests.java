package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.stream.IntStream;
import org.gradeledge.standin.fleet.EngineArrival.Answer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An upstream says in its answers that it leaves, while its entry says nothing of it. */
@Timeout(120)
class FleetLeavingUpstreamTests {

  private static final String[] AUTHORIZATION = {"Authorization", "Bearer " + Fleet.API_KEY};
  private static final String[] STAGE_HEADERS = {
    "Authorization", "Bearer " + Fleet.API_KEY, "X-Pieces", "2,3", "X-Piece-Key", "pk"
  };
  private static final int BOXES = 3;
  private static final int REQUESTS = 120;
  private static final int CALLERS = 12;
  private static final int ROUNDS = 10;

  private final Fleet fleet = new Fleet();

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  // Guards against requests at an upstream whose answers have said that it leaves (DRAIN).
  @Test
  void sendsNoRequestsAfterAnnouncement() throws Exception {
    FleetEngine leaving = fleet.addEngine("plain", EngineKind.PLAIN);
    fleet.addEngine("plain", EngineKind.PLAIN);
    startBoxes();
    fleet.store().setFault(StoreFault.SILENT);
    leaving.signals().announceLeaving("1");
    awaitAnnouncementOnAllBoxes(leaving);
    List<Long> before = requestCountPerBox(leaving);

    for (int number = 0; number < REQUESTS; number++) {
      assertThat(get(number % BOXES)).isTrue();
    }

    assertThat(requestCountPerBox(leaving)).isEqualTo(before);
  }

  // Guards against stage work at an upstream whose answers have said that it leaves (DRAIN).
  @Test
  void sendsNoStageWorkAfterAnnouncement() throws Exception {
    fleet.addEngine("model", EngineKind.STREAM);
    FleetEngine leaving = fleet.addEngine("stage", EngineKind.STAGE);
    fleet.addEngine("stage", EngineKind.STAGE);
    startBoxes();
    fleet.store().setFault(StoreFault.SILENT);
    leaving.signals().announceLeaving("1");
    Fleet.await(
        () -> {
          fleet.runConcurrently(CALLERS, this::sendStagedRequest);
          return leaving.signals().hasAnswered(Answer.LEAVING, "/stage-");
        });
    long before = leaving.signals().came("/stage-run");

    for (int wave = 0; wave < ROUNDS; wave++) {
      fleet.runConcurrently(CALLERS, this::sendStagedRequest);
    }

    assertThat(leaving.signals().came("/stage-run")).isEqualTo(before);
  }

  // Guards against an upstream that has said so being used again for what an older entry says.
  @Test
  void ignoresReadyEntryUntilNextIncarnation() throws Exception {
    FleetEngine leaving = fleet.addEngine("plain", EngineKind.PLAIN);
    fleet.addEngine("plain", EngineKind.PLAIN);
    startBoxes();
    leaving.signals().announceLeaving("1");
    awaitAnnouncementOnAllBoxes(leaving);
    List<Long> before = requestCountPerBox(leaving);
    fleet.putServerRow(leaving, "ready");
    FleetEngine witness = fleet.addEngine("plain", EngineKind.PLAIN);
    for (int box = 0; box < BOXES; box++) {
      int asked = box;
      Fleet.await(() -> get(asked) && witness.signals().came(path(asked)) > 0);
    }

    for (int number = 0; number < REQUESTS; number++) {
      assertThat(get(number % BOXES)).isTrue();
    }
    assertThat(requestCountPerBox(leaving)).isEqualTo(before);

    leaving.signals().withdraw();
    leaving.startAgain();
    fleet.putServerRow(leaving, "ready");
    for (int box = 0; box < BOXES; box++) {
      int asked = box;
      long then = leaving.signals().came(path(asked));
      Fleet.await(() -> get(asked) && leaving.signals().came(path(asked)) > then);
    }
  }

  private void startBoxes() throws Exception {
    fleet.startBoxes(BOXES);
    fleet.awaitPeersConnected();
  }

  /** Waits until each box has passed on an answer that says so, or was told by one that has. */
  private void awaitAnnouncementOnAllBoxes(FleetEngine leaving) throws Exception {
    for (int box = 0; box < BOXES; box++) {
      int asked = box;
      Fleet.await(
          () ->
              get(asked)
                  && (leaving.signals().hasAnswered(Answer.LEAVING, path(asked))
                      || fleet.hasLogged(asked, "upstream-announces-leaving")));
    }
  }

  private static List<Long> requestCountPerBox(FleetEngine engine) {
    return IntStream.range(0, BOXES).mapToObj(box -> engine.signals().came(path(box))).toList();
  }

  /** Requests of one box can be told from those of others by their path. */
  private static String path(int box) {
    return "/again/box-" + box;
  }

  private boolean get(int box) throws Exception {
    HttpResponse<String> answer = fleet.get(box, path(box), AUTHORIZATION);
    return answer.statusCode() == 200;
  }

  private void sendStagedRequest(int caller) throws Exception {
    assertThat(fleet.post(caller % BOXES, "/staged/x", STAGE_HEADERS).statusCode()).isEqualTo(200);
  }
}
