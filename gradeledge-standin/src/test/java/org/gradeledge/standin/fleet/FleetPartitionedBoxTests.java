package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests boxes that are partitioned from all upstreams while callers, the store and another box
 * reach them.
 */
@Timeout(120)
class FleetPartitionedBoxTests {

  private static final String[] AUTHORIZATION = {"Authorization", "Bearer " + Fleet.API_KEY};
  private static final String[] STAGE_HEADERS = {
    "Authorization", "Bearer " + Fleet.API_KEY, "X-Pieces", "2,3", "X-Piece-Key", "pk"
  };

  private static final int CONNECTED = 0;
  private static final int PARTITIONED = 1;
  private static final int REQUESTS = 60;

  /** Requests of partitioned boxes are served at least this often, relative to other boxes. */
  private static final double MIN_SERVED_SHARE = 2.0 / 3;

  private final Fleet fleet = new Fleet();
  private final UpstreamLinks links = new UpstreamLinks();

  /** Starts two boxes; one of them reaches the upstreams over links. */
  @BeforeEach
  void start() throws Exception {
    for (int number = 0; number < 2; number++) {
      fleet.addEngine("plain", EngineKind.PLAIN);
      fleet.addEngine("model", EngineKind.STREAM);
      fleet.addEngine("stage", EngineKind.STAGE);
    }
    fleet.startBox();
    fleet.startBox(fleet.store().openView(links::rewriteRow));
    fleet.awaitReady(CONNECTED);
    fleet.awaitReady(PARTITIONED);
    fleet.awaitPeersConnected();
    assertThat(countServed(PARTITIONED, "/again/x", AUTHORIZATION)).isEqualTo(REQUESTS);
    assertServed(PARTITIONED, "/staged/x", STAGE_HEADERS);
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
    links.close();
  }

  // Guards against refusing requests at a box that lost the path to all upstreams.
  @ParameterizedTest
  @EnumSource(
      value = FaultyLink.Fault.class,
      names = {"REFUSE_NEW_CONNECTIONS", "RESET_AND_REFUSE", "HANG"})
  void servesRequestsWithoutPathToUpstreams(FaultyLink.Fault fault) throws Exception {
    partition(fault);

    assertServed(PARTITIONED, "/again/x", AUTHORIZATION);
    assertServed(PARTITIONED, "/once/x", AUTHORIZATION);
    assertServed(PARTITIONED, "/resume/x", AUTHORIZATION);
  }

  // Guards against failing stage work of all boxes at an owner that lost the path to all upstreams.
  @ParameterizedTest
  @EnumSource(
      value = FaultyLink.Fault.class,
      names = {"REFUSE_NEW_CONNECTIONS", "RESET_AND_REFUSE", "HANG"})
  void servesStageWorkOfOwnerWithoutPathToUpstreams(FaultyLink.Fault fault) throws Exception {
    partition(fault);

    assertServed(PARTITIONED, "/staged/x", STAGE_HEADERS);
    assertServed(CONNECTED, "/staged/x", STAGE_HEADERS);
  }

  // Guards against counting upstreams that a partitioned box cannot reach as crashed.
  @Test
  void servesRequestThatLostItsConnectionsInPartitions() throws Exception {
    for (int round = 0; round < 4; round++) {
      partition(FaultyLink.Fault.RESET_AND_REFUSE);
      assertServed(PARTITIONED, "/again/x", AUTHORIZATION);
      partition(FaultyLink.Fault.NONE);
      assertServed(PARTITIONED, "/again/x", AUTHORIZATION);
    }

    assertThat(fleet.hasLogged(PARTITIONED, "request-held-back")).isFalse();
  }

  private void partition(FaultyLink.Fault fault) throws Exception {
    links.setFault(fault);
    sendConcurrently("/again/x", AUTHORIZATION);
    sendConcurrently("/resume/x", AUTHORIZATION);
    sendConcurrently("/staged/x", STAGE_HEADERS);
  }

  /** Gives the box time to notice a fault; whether it serves these requests is not checked. */
  private void sendConcurrently(String path, String... headers) throws Exception {
    fleet.runConcurrently(
        8,
        caller -> {
          fleet.post(PARTITIONED, path, headers);
          fleet.post(PARTITIONED, path, headers);
        });
  }

  private void assertServed(int box, String path, String... headers) throws Exception {
    assertThat(countServed(box, path, headers))
        .as("requests for %s that box %d served", path, box)
        .isGreaterThanOrEqualTo((int) Math.ceil(REQUESTS * MIN_SERVED_SHARE));
  }

  private int countServed(int box, String path, String... headers) throws Exception {
    int served = 0;
    for (int number = 0; number < REQUESTS; number++) {
      if (fleet.post(box, path, headers).statusCode() == 200) {
        served++;
      }
    }
    return served;
  }
}
