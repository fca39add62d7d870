package org.gradeledge.batch;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.retry.RetryBudget;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.MonotonicClock;

/** Creates coordinators for tests; all services share one set of limits. */
record CoordinatorFixture(
    EventLoop loop, UpstreamRegistry upstreams, FakeUpstreamCaller caller, UpstreamLoads loads) {

  private static final double MANY_RETRIES = 100;

  /** Creates a fixture with an empty load table. */
  CoordinatorFixture(EventLoop loop, UpstreamRegistry upstreams, FakeUpstreamCaller caller) {
    this(loop, upstreams, caller, new UpstreamLoads(MonotonicClock.system(), EventLogs.silent()));
  }

  /** Returns a coordinator with variable limits and a sufficient retry budget. */
  BatchCoordinator withLimits(Supplier<Optional<BatchLimits>> limits) {
    return withRetries(MANY_RETRIES, limits);
  }

  /** Returns a coordinator with the given retry allowance. */
  BatchCoordinator withRetries(double allowance, Supplier<Optional<BatchLimits>> limits) {
    MonotonicClock clock = MonotonicClock.system();
    return BatchCoordinator.builder()
        .box("box", loop, clock)
        .upstreams(upstreams, service -> limits.get())
        .calls(caller, new FakeStageProtocol())
        .loadAndRetries(
            loads,
            new RetryBudget(clock, 0, allowance, Duration.ofSeconds(10), () -> 1),
            EventLogs.silent())
        .build();
  }
}
