package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.deployment.Deployment;
import org.gradeledge.deployment.Repeatability;
import org.gradeledge.deployment.ServiceDefinition;
import org.gradeledge.deployment.StageWork;
import org.gradeledge.deployment.TestDeployments;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LatenessForecastTests {

  private static final double CALL_MILLIS = 200;
  private static final double FIRST_EVENT_MILLIS = 100;

  private static final List<StageWork> TWO_STAGES =
      List.of(new StageWork("a", List.of(), 1_000), new StageWork("b", List.of(0), 1_000));

  private final FakeStageWorkClient client = new FakeStageWorkClient();

  // Guards against a route that is never served, as its target is shorter than its work.
  @ParameterizedTest
  @ValueSource(longs = {1, 300, 499, 500, 560})
  void workThatTakesLongerThanItsTargetWithoutLoadIsNotLate(long targetMillis) {
    LatenessForecast forecast = forecast(targetMillis, true);

    assertThat(forecast.isLate()).isFalse();
    assertThat(forecast.dueMillis(0)).isGreaterThanOrEqualTo((long) CALL_MILLIS);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 300, 500})
  void workThatTakesLongerThanItsTargetIsLateBehindABacklog(long targetMillis) {
    client.backlogs.put("a", 500L);

    assertThat(forecast(targetMillis, true).isLate()).isTrue();
  }

  @Test
  void observedTimeOfLoadedUpstreamsMakesRequestsLate() {
    assertThat(forecast(420, false).isLate()).isFalse();
    client.backlogs.put("b", 300L);
    assertThat(forecast(420, false).isLate()).isTrue();
  }

  private LatenessForecast forecast(long targetMillis, boolean lightlyLoaded) {
    Deployment plain =
        TestDeployments.of(1, TestDeployments.route("host", "/", Repeatability.REPEATABLE));
    Deployment deployment =
        new Deployment(
            plain.revision(),
            plain.routes(),
            Map.of("a", service("a"), "b", service("b")),
            plain.accounts(),
            plain.keysRequired(),
            plain.callerLimits(),
            plain.document());
    StageEstimator estimator = new StageEstimator(List.of(1, 1), TWO_STAGES, deployment, client, 1);
    RequestClock clock = new RequestClock(() -> 0, 0, 4_000, targetMillis);
    return new LatenessForecast(estimator, clock, FIRST_EVENT_MILLIS, lightlyLoaded);
  }

  private static ServiceDefinition service(String name) {
    BatchLimits limits = new BatchLimits(1, 8, CALL_MILLIS, 0, 1_000_000, 4_000);
    return new ServiceDefinition(name, 64, Optional.of(limits), Optional.empty());
  }
}
