package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gradeledge.batch.StageOutcome;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.deployment.Deployment;
import org.gradeledge.deployment.Repeatability;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.deployment.ServiceDefinition;
import org.gradeledge.deployment.StageWork;
import org.gradeledge.deployment.TestDeployments;
import org.junit.jupiter.api.Test;

class StagePlanTests {

  private static final List<StageWork> STAGES =
      List.of(
          new StageWork("a", List.of(), 1_000),
          new StageWork("a", List.of(), 1_000),
          new StageWork("b", List.of(1), 1_000));

  private static final double CALL_MILLIS = 200;

  private final FakeStageWorkClient client = new FakeStageWorkClient();
  private final RequestClock clock = new RequestClock(() -> 0, 0, 4_000, 2_000);
  private final StageTimeline timeline = new StageTimeline(clock);
  private List<StageWork> stageWork = STAGES;
  private final List<String> outcomes = new ArrayList<>();

  @Test
  void startsStageAfterItsPredecessors() {
    StagePlan plan = start(2, 1, 3);
    assertThat(client.submittedStages()).containsExactly(1, 0);

    client.complete(1);

    assertThat(client.submittedStages()).containsExactly(1, 0, 2);
    assertThat(client.groups.get(2).inputs()).containsExactly("1-0");
    assertThat(plan.isEmpty()).isFalse();
  }

  @Test
  void defersStageUntilDownstreamWorkIsShortEnough() {
    stageWork =
        List.of(
            new StageWork("a", List.of(), 1_000),
            new StageWork("a", List.of(), 1_000),
            new StageWork("b", List.of(1), 1_000),
            new StageWork("b", List.of(2), 1_000));
    start(1, 1, 8, 8);
    assertThat(client.submittedStages()).containsExactly(1);

    client.complete(1);
    assertThat(client.submittedStages()).containsExactly(1, 2, 0);
  }

  @Test
  void doesNotDeferStageWithBacklog() {
    client.backlogs.put("a", 400L);

    start(2, 1, 3);

    assertThat(client.submittedStages()).containsExactlyInAnyOrder(0, 1);
  }

  @Test
  void releasesResultsAfterConsumerFetchedThem() {
    start(0, 2, 3);
    client.complete(1);
    assertThat(client.releasedHandles).isEmpty();

    client.fetchInputs(2);

    assertThat(client.releasedHandles).containsExactly("1-0", "1-1");
  }

  @Test
  void recomputesInputsReleasedTooEarly() {
    start(0, 1, 1);
    client.complete(1);
    client.fetchInputs(2);

    client.fail(2, StageOutcome.GONE);

    assertThat(client.submittedStages()).containsExactly(1, 2, 1);
  }

  @Test
  void returnsResultsWithoutConsumers() {
    start(2, 1, 2);
    client.complete(0);
    client.complete(1);
    client.complete(2);

    assertThat(outcomes).containsExactly("done [0-0, 0-1, 2-0, 2-1]");
  }

  @Test
  void skipsStageWithoutPieces() {
    start(0, 1, 1);
    client.complete(1);
    client.complete(2);

    assertThat(outcomes).containsExactly("done [2-0]");
  }

  @Test
  void releasesResultsAfterConsumerCompletes() {
    start(0, 2, 1);
    client.complete(1);
    assertThat(client.releasedHandles).isEmpty();

    client.complete(2);

    assertThat(client.releasedHandles).containsExactly("1-0", "1-1");
  }

  @Test
  void recomputesMissingInput() {
    start(0, 1, 1);
    client.complete(1);
    client.fail(2, StageOutcome.GONE);
    assertThat(client.submittedStages()).containsExactly(1, 2, 1);

    client.complete(1);
    client.complete(2);

    assertThat(outcomes).containsExactly("done [2-0]");
  }

  @Test
  void startsNoFurtherStageAfterRejection() {
    client.rejectedStages.add(0);
    start(1, 1, 1);

    assertThat(client.submittedStages()).containsExactly(1, 0);
    assertThat(client.cancelledServices).containsExactly("a");
    assertThat(outcomes).containsExactly("failed 0 LATE");
    assertThat(timeline.refusalPoint()).contains(RefusalPoint.STAGE_QUEUE);
  }

  @Test
  void failsPlanAndReleasesResultsWhenStageFails() {
    start(1, 1, 1);
    client.complete(0);
    client.fail(1, StageOutcome.FAILED);

    assertThat(outcomes).containsExactly("failed 1 FAILED");
    assertThat(timeline.refusalPoint()).contains(RefusalPoint.STAGE_WORK);
    assertThat(client.releasedHandles).containsExactly("0-0");
  }

  @Test
  void rejectsBeforeStartWhenLaterBacklogIsTooLong() {
    client.backlogs.put("b", 5_000L);

    start(0, 1, 1);

    assertThat(outcomes).containsExactly("failed 0 LATE");
    assertThat(client.groups).isEmpty();
    assertThat(timeline.refusalPoint()).contains(RefusalPoint.ADMISSION);
  }

  @Test
  void ignoresBacklogOfLowerPriority() {
    client.backlogs.put("b", 5_000L);

    start(0, new Integer[] {0, 1, 1});

    assertThat(client.submittedStages()).containsExactly(1);
  }

  @Test
  void overlapsLaterBacklogWithEarlierStages() {
    client.backlogs.put("b", 1_200L);
    client.backlogs.put("a", 1_000L);

    start(0, 1, 1);

    assertThat(client.submittedStages()).containsExactly(1);
  }

  @Test
  void announcesPiecesUntilSubmitted() {
    start(2, 1, 3);
    assertThat(client.announcedPieces).containsExactly(Map.entry("b", 3));

    client.complete(1);

    assertThat(client.announcedPieces).isEmpty();
  }

  @Test
  void withdrawsAnnouncementsWhenCancelled() {
    StagePlan plan = start(2, 1, 3);
    plan.cancel();

    assertThat(client.announcedPieces).isEmpty();
  }

  @Test
  void releasesResultsThatArriveAfterCancellation() {
    StagePlan plan = start(1, 1, 1);
    plan.cancel();
    client.complete(0);

    assertThat(client.releasedHandles).containsExactly("0-0");
    assertThat(outcomes).isEmpty();
  }

  private StagePlan start(Integer... pieces) {
    return start(1, pieces);
  }

  private StagePlan start(int priority, Integer[] pieces) {
    RouteDefinition route =
        TestDeployments.route("host", "/", Repeatability.RESUMABLE_STREAM, stageWork);
    RelayRequest request =
        new RelayRequest(
            "request",
            HttpMethod.POST,
            "/",
            "/",
            "host",
            new DefaultHttpHeaders(),
            new byte[0],
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            List.of(),
            0,
            List.of(pieces),
            Optional.of("key"));
    StagePlan plan =
        new StagePlan(
            request,
            deployment(route),
            route,
            client,
            clock,
            priority,
            "zone",
            100,
            false,
            timeline);
    plan.start(
        handles -> outcomes.add("done " + handles),
        (stage, result) -> outcomes.add("failed " + stage + " " + result.outcome()));
    return plan;
  }

  private static Deployment deployment(RouteDefinition route) {
    Deployment plain = TestDeployments.of(1, route);
    BatchLimits limits = new BatchLimits(1, 8, CALL_MILLIS, 0, 1_000_000, 4_000);
    return new Deployment(
        plain.revision(),
        plain.routes(),
        Map.of("a", service("a", limits), "b", service("b", limits)),
        plain.accounts(),
        plain.keysRequired(),
        plain.callerLimits(),
        plain.document());
  }

  private static ServiceDefinition service(String name, BatchLimits limits) {
    return new ServiceDefinition(name, 64, Optional.of(limits), Optional.empty());
  }
}
