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

/** What tests build a coordinator from; all services have one set of limits. */
record CoordinatorFixture(
    EventLoop loop, UpstreamRegistry upstreams, FakeUpstreamCaller caller, UpstreamLoads board) {

  private static final double MANY_RETRIES = 100;

  /** Creates one whose box knows of no load. */
  CoordinatorFixture(EventLoop loop, UpstreamRegistry upstreams, FakeUpstreamCaller caller) {
    this(loop, upstreams, caller, new UpstreamLoads(MonotonicClock.system(), EventLogs.silent()));
  }

  /** Returns a coordinator whose limits may change, and which may make calls again. */
  BatchCoordinator withLimits(Supplier<Optional<BatchLimits>> limits) {
    return withRetries(MANY_RETRIES, limits);
  }

  /** Returns a coordinator that may make so many calls again. */
  BatchCoordinator withRetries(double allowance, Supplier<Optional<BatchLimits>> limits) {
    MonotonicClock clock = MonotonicClock.system();
    return BatchCoordinator.builder()
        .box("box", loop, clock)
        .upstreams(upstreams, service -> limits.get())
        .calls(caller, new FakeStageProtocol())
        .loadAndRetries(
            board,
            new RetryBudget(clock, 0, allowance, Duration.ofSeconds(10), () -> 1),
            EventLogs.silent())
        .build();
  }
}
