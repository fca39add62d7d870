package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests results that take all the memory of an upstream. */
@Timeout(30)
class LargeResultTests {

  private static final long MEMORY_BYTES = 1_000;

  private final EventLoop loop = new DefaultEventLoop();
  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final BatchCoordinator coordinator =
      new CoordinatorFixture(loop, upstreams, caller)
          .withLimits(() -> Optional.of(new BatchLimits(1, 4, 400, 1, MEMORY_BYTES, 60_000)));

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  // Guards against a stage that is never started, as its result is larger than the usable memory.
  @Test
  void emptyUpstreamGetsOneLargePieceAtATime() throws Exception {
    UpstreamRecord upstream = new UpstreamRecord("u1", "service", "10.0.0.1", 1, "zone", 1, false);
    loop.submit(() -> upstreams.replaceAll(1, List.of(upstream))).sync();
    submit("a");
    submit("b");
    FakeUpstreamCaller.Call first = caller.nextCall();
    loop.submit(() -> first.respond(200, "10.0.0.1:1/a0")).sync();
    assertThat(caller.hasNoCalls()).isTrue();

    loop.submit(() -> coordinator.release(List.of("10.0.0.1:1/a0"))).sync();
    FakeUpstreamCaller.Call release = caller.nextCall();
    loop.submit(() -> release.respond(200, "")).sync();

    assertThat(first.body()).isEqualTo("a:0");
    assertThat(caller.nextCall().body()).isEqualTo("b:0");
  }

  private void submit(String request) throws InterruptedException {
    StageGroup group = StageGroups.large(request, 1, MEMORY_BYTES);
    loop.submit(() -> coordinator.submit(group, result -> {})).sync();
  }
}
