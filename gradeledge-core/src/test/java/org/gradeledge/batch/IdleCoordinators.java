package org.gradeledge.batch;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Optional;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.retry.RetryBudget;
import org.gradeledge.selection.LoadBoard;
import org.gradeledge.time.MonotonicClock;

/** Coordinators of a box that knows no upstreams, for tests of what hands work to them. */
public final class IdleCoordinators {

  private IdleCoordinators() {}

  /** Returns one for a box. */
  public static BatchCoordinator create(String box, EventLoop loop) {
    MonotonicClock clock = MonotonicClock.system();
    return BatchCoordinator.builder()
        .box(box, loop, clock)
        .upstreams(new UpstreamRegistry(EventLogs.silent()), service -> Optional.empty())
        .calls(new FakeUpstreamCaller(), new FakeStageProtocol())
        .beliefs(
            new LoadBoard(clock, EventLogs.silent()),
            new RetryBudget(clock, 0, 100, Duration.ofSeconds(10), () -> 1),
            EventLogs.silent())
        .build();
  }
}
