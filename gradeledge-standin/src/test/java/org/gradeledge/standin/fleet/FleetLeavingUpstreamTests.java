package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.stream.IntStream;
import org.gradeledge.standin.fleet.EngineArrival.EngineAnnouncement;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests upstreams that announce in responses that they leave while their entry says ready. */
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

  // Guards against requests to an upstream that has announced that it leaves.
  @Test
  void sendsNoRequestsAfterAnnouncement() throws Exception {
    FleetEngine leaving = fleet.addEngine("plain", EngineKind.PLAIN);
    fleet.addEngine("plain", EngineKind.PLAIN);
    startBoxes();
    fleet.store().setFault(StoreFault.SILENT);
    leaving.announcements().announceLeaving("1");
    awaitAnnouncementOnAllBoxes(leaving);
    List<Long> before = requestCountPerBox(leaving);

    for (int number = 0; number < REQUESTS; number++) {
      assertThat(get(number % BOXES)).isTrue();
    }

    assertThat(requestCountPerBox(leaving)).isEqualTo(before);
  }

  // Guards against stage work for an upstream that has announced that it leaves.
  @Test
  void sendsNoStageWorkAfterAnnouncement() throws Exception {
    fleet.addEngine("model", EngineKind.STREAM);
    FleetEngine leaving = fleet.addEngine("stage", EngineKind.STAGE);
    fleet.addEngine("stage", EngineKind.STAGE);
    startBoxes();
    fleet.store().setFault(StoreFault.SILENT);
    leaving.announcements().announceLeaving("1");
    Fleet.await(
        () -> {
          fleet.runConcurrently(CALLERS, this::sendStagedRequest);
          return leaving.announcements().hasAnnounced(EngineAnnouncement.LEAVING, "/stage-");
        });
    long before = leaving.announcements().requestCount("/stage-run");

    for (int round = 0; round < ROUNDS; round++) {
      fleet.runConcurrently(CALLERS, this::sendStagedRequest);
    }

    assertThat(leaving.announcements().requestCount("/stage-run")).isEqualTo(before);
  }

  // Guards against using a leaving upstream again because its entry still says ready.
  @Test
  void ignoresReadyEntryUntilNextIncarnation() throws Exception {
    FleetEngine leaving = fleet.addEngine("plain", EngineKind.PLAIN);
    fleet.addEngine("plain", EngineKind.PLAIN);
    startBoxes();
    leaving.announcements().announceLeaving("1");
    awaitAnnouncementOnAllBoxes(leaving);
    List<Long> before = requestCountPerBox(leaving);
    fleet.putServerRow(leaving, "ready");
    FleetEngine addedLater = fleet.addEngine("plain", EngineKind.PLAIN);
    for (int box = 0; box < BOXES; box++) {
      int boxIndex = box;
      Fleet.await(
          () -> get(boxIndex) && addedLater.announcements().requestCount(path(boxIndex)) > 0);
    }

    for (int number = 0; number < REQUESTS; number++) {
      assertThat(get(number % BOXES)).isTrue();
    }
    assertThat(requestCountPerBox(leaving)).isEqualTo(before);

    leaving.announcements().withdraw();
    leaving.restart();
    fleet.putServerRow(leaving, "ready");
    for (int box = 0; box < BOXES; box++) {
      int boxIndex = box;
      long previous = leaving.announcements().requestCount(path(boxIndex));
      Fleet.await(
          () -> get(boxIndex) && leaving.announcements().requestCount(path(boxIndex)) > previous);
    }
  }

  private void startBoxes() throws Exception {
    fleet.startBoxes(BOXES);
    fleet.awaitPeersConnected();
  }

  /** Waits until each box has received the announcement, from the upstream or from a peer. */
  private void awaitAnnouncementOnAllBoxes(FleetEngine leaving) throws Exception {
    for (int box = 0; box < BOXES; box++) {
      int boxIndex = box;
      Fleet.await(
          () ->
              get(boxIndex)
                  && (leaving
                          .announcements()
                          .hasAnnounced(EngineAnnouncement.LEAVING, path(boxIndex))
                      || fleet.hasLogged(boxIndex, "upstream-announces-leaving")));
    }
  }

  private static List<Long> requestCountPerBox(FleetEngine engine) {
    return IntStream.range(0, BOXES)
        .mapToObj(box -> engine.announcements().requestCount(path(box)))
        .toList();
  }

  /** Returns a path that identifies the box that forwarded a request. */
  private static String path(int box) {
    return "/again/box-" + box;
  }

  private boolean get(int box) throws Exception {
    HttpResponse<String> response = fleet.get(box, path(box), AUTHORIZATION);
    return response.statusCode() == 200;
  }

  private void sendStagedRequest(int caller) throws Exception {
    HttpResponse<String> response = fleet.post(caller % BOXES, "/staged/x", STAGE_HEADERS);
    assertThat(response.statusCode()).as(fleet::allLogs).isEqualTo(200);
  }
}
