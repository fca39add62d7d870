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

/** A configuration takes a service's work away while a call for it is under way. */
@Timeout(30)
class RemovedServiceTests {

  private final EventLoop loop = new DefaultEventLoop();
  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private volatile Optional<BatchLimits> limits =
      Optional.of(new BatchLimits(1, 4, 400, 1, 1_000, 60_000));
  private final BatchCoordinator coordinator =
      new CoordinatorFixture(loop, upstreams, caller).withLimits(() -> limits);

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void piecesThatAFullUpstreamTurnedAwayAreMadeOnceTheServiceIsBack() throws Exception {
    Optional<BatchLimits> before = limits;
    UpstreamRecord upstream = new UpstreamRecord("u1", "service", "10.0.0.1", 1, "zone", 1, false);
    loop.submit(() -> upstreams.replaceAll(1, List.of(upstream))).sync();
    submit("a");
    FakeUpstreamCaller.Call call = caller.nextCall();

    limits = Optional.empty();
    loop.submit(() -> call.respond(503, "")).sync();
    limits = before;
    submit("b");

    assertThat(caller.nextCall().body()).isEqualTo("a:0 b:0");
  }

  @Test
  void piecesThatWereMadeMeanwhileAreHandedOn() throws Exception {
    UpstreamRecord upstream = new UpstreamRecord("u1", "service", "10.0.0.1", 1, "zone", 1, false);
    loop.submit(() -> upstreams.replaceAll(1, List.of(upstream))).sync();
    BlockingQueue<StageGroupResult> results = new LinkedBlockingQueue<>();
    loop.submit(() -> coordinator.submit(StageGroups.group("a", 1), results::add)).sync();
    FakeUpstreamCaller.Call call = caller.nextCall();

    limits = Optional.empty();
    loop.submit(() -> call.respond(200, "10.0.0.1:1/a")).sync();

    assertThat(results.take().handles()).containsExactly("10.0.0.1:1/a");
  }

  private void submit(String request) throws InterruptedException {
    loop.submit(() -> coordinator.submit(StageGroups.group(request, 1), result -> {})).sync();
  }
}
