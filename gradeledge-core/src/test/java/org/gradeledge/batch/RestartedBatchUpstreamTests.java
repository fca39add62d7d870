package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An upstream restarts with the same id and address and loses its stored results. */
@Timeout(30)
class RestartedBatchUpstreamTests {

  private static final long MEMORY_BYTES = 1_000;

  private final EventLoop loop = new DefaultEventLoop();
  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final BlockingQueue<StageGroupResult> results = new LinkedBlockingQueue<>();
  private final BatchCoordinator coordinator =
      new CoordinatorFixture(loop, upstreams, caller)
          .withLimits(() -> Optional.of(new BatchLimits(1, 4, 400, 1, MEMORY_BYTES, 60_000)));

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void resultsOfAnEarlierIncarnationOccupyNoMemory() throws Exception {
    onLoop(() -> upstreams.replaceAll(1, List.of(incarnation(1))));
    submit("a");
    answer(caller.nextCall(), "10.0.0.1:1/a");
    submit("waits-for-memory");
    assertThat(results.poll(10, TimeUnit.SECONDS).outcome()).isEqualTo(StageOutcome.MADE);
    assertThat(caller.hasNoCalls()).isTrue();

    onLoop(() -> upstreams.update(2, List.of(incarnation(2)), List.of()));

    FakeUpstreamCaller.Call call = caller.nextCall();
    assertThat(call.target().born()).isEqualTo(2);
    assertThat(call.body()).isEqualTo("waits-for-memory:0");
  }

  @Test
  void resultsOfAnEarlierIncarnationAreNotReleased() throws Exception {
    onLoop(() -> upstreams.replaceAll(1, List.of(incarnation(1))));
    submit("a");
    answer(caller.nextCall(), "10.0.0.1:1/a");
    assertThat(results.poll(10, TimeUnit.SECONDS).outcome()).isEqualTo(StageOutcome.MADE);
    onLoop(() -> upstreams.update(2, List.of(incarnation(2)), List.of()));
    submit("b");
    answer(caller.nextCall(), "10.0.0.1:1/b");
    assertThat(results.poll(10, TimeUnit.SECONDS).outcome()).isEqualTo(StageOutcome.MADE);

    onLoop(() -> coordinator.release(List.of("10.0.0.1:1/a", "10.0.0.1:1/b")));

    assertThat(caller.nextCall().body()).isEqualTo("10.0.0.1:1/b");
  }

  private void submit(String request) throws InterruptedException {
    onLoop(
        () ->
            coordinator.submit(StageGroups.large(request, 1, MEMORY_BYTES / 2 + 1), results::add));
  }

  private void answer(FakeUpstreamCaller.Call call, String body) throws InterruptedException {
    onLoop(() -> call.respond(200, body));
  }

  private void onLoop(Runnable action) throws InterruptedException {
    loop.submit(action).sync();
  }

  private static UpstreamRecord incarnation(long born) {
    return new UpstreamRecord(
        "u1", born, "service", "10.0.0.1", 1, "zone", 1, false, 0, Optional.empty());
  }
}
