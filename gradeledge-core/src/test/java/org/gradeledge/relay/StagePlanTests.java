package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageGroupResult;
import org.gradeledge.batch.StageOutcome;
import org.gradeledge.batch.StageWorkClient;
import org.gradeledge.deployment.Deployments;
import org.gradeledge.deployment.Repeatability;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.deployment.StageWork;
import org.junit.jupiter.api.Test;

class StagePlanTests {

  private static final List<StageWork> STAGES =
      List.of(
          new StageWork("a", List.of(), 1_000),
          new StageWork("a", List.of(), 1_000),
          new StageWork("b", List.of(1), 1_000));

  private final FakeClient client = new FakeClient();
  private final List<String> outcomes = new ArrayList<>();

  @Test
  void aStageStartsOnceThoseThatItComesAfterAreDone() {
    StagePlan plan = start(2, 1, 3);
    assertThat(client.stages()).containsExactly(0, 1);

    client.make(1);

    assertThat(client.stages()).containsExactly(0, 1, 2);
    assertThat(client.groups.get(2).inputs()).containsExactly("1-0");
    assertThat(plan.isEmpty()).isFalse();
  }

  @Test
  void resultsThatNoStageTakesAreHandedOn() {
    start(2, 1, 2);
    client.make(0);
    client.make(1);
    client.make(2);

    assertThat(outcomes).containsExactly("done [0-0, 0-1, 2-0, 2-1]");
  }

  @Test
  void aStageWithoutPiecesIsLeftOut() {
    start(0, 1, 1);
    client.make(1);
    client.make(2);

    assertThat(outcomes).containsExactly("done [2-0]");
  }

  @Test
  void resultsAreGivenUpOnceTheyAreTaken() {
    start(0, 2, 1);
    client.make(1);
    assertThat(client.freed).isEmpty();

    client.make(2);

    assertThat(client.freed).containsExactly("1-0", "1-1");
  }

  @Test
  void anInputThatIsGoneIsMadeAgain() {
    start(0, 1, 1);
    client.make(1);
    client.end(2, StageOutcome.GONE);
    assertThat(client.stages()).containsExactly(1, 2, 1);

    client.make(1);
    client.make(2);

    assertThat(outcomes).containsExactly("done [2-0]");
  }

  @Test
  void aStageThatFailsEndsThePlanAndGivesUpWhatWasMade() {
    start(1, 1, 1);
    client.make(0);
    client.end(1, StageOutcome.FAILED);

    assertThat(outcomes).containsExactly("failed 1 FAILED");
    assertThat(client.freed).containsExactly("0-0");
  }

  @Test
  void whatWouldComeLateBehindALaterServicesQueueIsRefusedBeforeAnythingIsDone() {
    client.backlogs.put("b", 5_000L);

    start(0, 1, 1);

    assertThat(outcomes).containsExactly("failed 0 LATE");
    assertThat(client.groups).isEmpty();
  }

  @Test
  void whatWaitsLessUrgentlyDoesNotCount() {
    client.backlogs.put("b", 5_000L);

    start(0, new Integer[] {0, 1, 1});

    assertThat(client.stages()).containsExactly(1);
  }

  @Test
  void aCancelledPlanGivesUpWhatComesAfterwards() {
    StagePlan plan = start(1, 1, 1);
    plan.cancel();
    client.make(0);

    assertThat(client.freed).containsExactly("0-0");
    assertThat(outcomes).isEmpty();
  }

  private StagePlan start(Integer... pieces) {
    return start(1, pieces);
  }

  private StagePlan start(int priority, Integer[] pieces) {
    RouteDefinition route = Deployments.route("host", "/", Repeatability.RESUMABLE_STREAM, STAGES);
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
            List.of(),
            0,
            List.of(pieces),
            Optional.of("key"));
    RequestClock clock = new RequestClock(() -> 0, 4_000, 2_000);
    StagePlan plan =
        new StagePlan(
            request, Deployments.of(1, route), route, client, clock, priority, "zone", 100);
    plan.start(
        handles -> outcomes.add("done " + handles),
        (stage, result) -> outcomes.add("failed " + stage + " " + result.outcome()));
    return plan;
  }

  /** Keeps the groups it was given until the test ends them. */
  private static final class FakeClient implements StageWorkClient {

    private final List<StageGroup> groups = new ArrayList<>();
    private final Map<Integer, Consumer<StageGroupResult>> listeners = new HashMap<>();
    private final Map<String, Long> backlogs = new HashMap<>();
    private final List<String> freed = new ArrayList<>();

    List<Integer> stages() {
      return groups.stream().map(StageGroup::stage).toList();
    }

    void make(int stage) {
      int pieces =
          groups.stream().filter(g -> g.stage() == stage).findFirst().orElseThrow().pieces();
      List<String> handles =
          IntStream.range(0, pieces).mapToObj(piece -> stage + "-" + piece).toList();
      listeners.get(stage).accept(new StageGroupResult(StageOutcome.MADE, handles, "box", 0));
    }

    void end(int stage, StageOutcome outcome) {
      listeners.get(stage).accept(new StageGroupResult(outcome, List.of(), "box", 0));
    }

    @Override
    public void submit(StageGroup group, Consumer<StageGroupResult> listener) {
      groups.add(group);
      listeners.put(group.stage(), listener);
    }

    @Override
    public long backlogMillis(String service, int priority) {
      return priority == 0 ? 0 : backlogs.getOrDefault(service, 0L);
    }

    @Override
    public Optional<String> zoneOf(String handle) {
      return Optional.empty();
    }

    @Override
    public void cancel(String service, String requestId) {}

    @Override
    public void free(String service, List<String> handles) {
      freed.addAll(handles);
    }
  }
}
