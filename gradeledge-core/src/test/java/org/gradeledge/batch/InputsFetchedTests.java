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

@Timeout(30)
class InputsFetchedTests {

  private final EventLoop loop = new DefaultEventLoop();
  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void inputsAreToldToBeFetchedOnceAllPiecesAreAtWork() throws Exception {
    BatchCoordinator coordinator = coordinator();
    UpstreamRecord upstream = new UpstreamRecord("u1", "service", "10.0.0.1", 1, "z", 1, false);
    loop.submit(() -> upstreams.replaceAll(1, List.of(upstream))).sync();
    loop.submit(() -> coordinator.submit(withInputs(3), new Recorder())).sync();

    FakeUpstreamCaller.Call first = caller.nextCall();
    loop.submit(first::notifySent).sync();
    loop.submit(() -> first.respond(200, "10.0.0.1:1/0 10.0.0.1:1/1")).sync();
    FakeUpstreamCaller.Call second = caller.nextCall();
    assertThat(heard).isEmpty();
    loop.submit(second::notifySent).sync();

    assertThat(heard.poll(10, TimeUnit.SECONDS)).isEqualTo("inputs taken");
    loop.submit(() -> second.respond(200, "10.0.0.1:1/2")).sync();
    assertThat(heard.poll(10, TimeUnit.SECONDS)).isEqualTo("MADE");
  }

  @Test
  void aGroupWithoutInputsTellsOnlyItsEnd() throws Exception {
    BatchCoordinator coordinator = coordinator();
    UpstreamRecord upstream = new UpstreamRecord("u1", "service", "10.0.0.1", 1, "z", 1, false);
    loop.submit(() -> upstreams.replaceAll(1, List.of(upstream))).sync();
    loop.submit(() -> coordinator.submit(StageGroups.group("a", 1), new Recorder())).sync();

    FakeUpstreamCaller.Call call = caller.nextCall();
    loop.submit(call::notifySent).sync();
    loop.submit(() -> call.respond(200, "10.0.0.1:1/0")).sync();

    assertThat(heard).containsExactly("MADE");
  }

  private final class Recorder implements StageWorkListener {

    @Override
    public void onEnd(StageGroupResult result) {
      heard.add(result.outcome().name());
    }

    @Override
    public void onInputsFetched() {
      heard.add("inputs taken");
    }
  }

  private BatchCoordinator coordinator() {
    BatchLimits twoAtATime = new BatchLimits(1, 2, 20, 1, 1_000, 60_000);
    return new CoordinatorFixture(loop, upstreams, caller)
        .withLimits(() -> Optional.of(twoAtATime));
  }

  private static StageGroup withInputs(int pieces) {
    return new StageGroup(
        "service",
        "a",
        1,
        pieces,
        Optional.empty(),
        List.of("10.0.0.9:1/x"),
        1,
        1,
        "",
        1,
        60_000,
        60_000,
        60_000,
        false);
  }
}
