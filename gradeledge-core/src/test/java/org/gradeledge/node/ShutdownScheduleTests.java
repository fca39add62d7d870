package org.gradeledge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ShutdownScheduleTests {

  private static final Duration LOAD_BALANCER_BOUND = Duration.ofSeconds(3);

  // Guards against requests that are taken long after the load balancer has reacted.
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 4, 8, 30, 120})
  void refusesRequestsOnceTheLoadBalancerHasReacted(int graceSeconds) {
    ShutdownSchedule schedule = new ShutdownSchedule(Duration.ofSeconds(graceSeconds));

    assertThat(schedule.refuse()).isLessThan(LOAD_BALANCER_BOUND);
    assertThat(schedule.closeIdle()).isPositive().isLessThan(schedule.refuse());
    assertThat(schedule.refuse()).isLessThan(schedule.refuseUnsent());
    assertThat(schedule.refuseUnsent()).isLessThan(schedule.end());
    assertThat(schedule.end()).isLessThan(schedule.gracePeriod());
  }
}
