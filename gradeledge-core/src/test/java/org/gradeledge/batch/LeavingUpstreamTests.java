package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Seen: a box made a call for stage work to an upstream in the very millisecond in which it took
 * that upstream out of use.
 *
 * <p>How it came about: pieces waited, as the upstream was busy. When it left, the queue was told,
 * so that it hands the pieces to others; it asked for the upstreams that take work and was still
 * given the one that had just left, as one that it had never called.
 *
 * <p>Cause: listeners were told of an end before the index that choices are made from was rebuilt.
 * Proof: the calls of these tests, one for each way in which an upstream ends.
 */
@Timeout(30)
class LeavingUpstreamTests {

  /** The ways in which a box learns that an upstream takes no new work. */
  enum Removal {
    SAYS_THAT_IT_LEAVES(list -> list.update(2, List.of(upstream(true)), List.of())),
    ENTRY_VANISHES(list -> list.update(2, List.of(), List.of("u1"))),
    MISSING_FROM_A_WHOLE_LIST(list -> list.replaceAll(2, List.of())),
    ANOTHER_HAS_ITS_ADDRESS(list -> list.markGone(upstream(false))),
    ENTRY_LAPSED_AND_DID_NOT_COME_BACK(
        list -> {
          list.distrustRemovals();
          list.update(2, List.of(), List.of("u1"));
          list.trustRemovals();
        });

    private final Consumer<UpstreamRegistry> news;

    Removal(Consumer<UpstreamRegistry> news) {
      this.news = news;
    }
  }

  private final EventLoop loop = new DefaultEventLoop();
  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final BatchCoordinator coordinator =
      new CoordinatorFixture(loop, upstreams, caller)
          .withLimits(() -> Optional.of(new BatchLimits(1, 4, 400, 1, 1_000, 60_000)));

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @ParameterizedTest
  @EnumSource
  void whatWaitsIsNotGivenToAnUpstreamThatHasJustEnded(Removal end) throws Exception {
    onLoop(() -> upstreams.replaceAll(1, List.of(upstream(false))));
    submit("under-way");
    assertThat(caller.nextCall().body()).isEqualTo("under-way:0");
    submit("waiting");
    assertThat(caller.hasNoCalls()).isTrue();

    onLoop(() -> end.news.accept(upstreams));

    assertThat(caller.hasNoCalls()).isTrue();
  }

  @Test
  void whatWaitsIsGivenToOthersAtOnce() throws Exception {
    UpstreamRecord other = new UpstreamRecord("u2", "service", "10.0.0.2", 2, "zone", 1, false);
    onLoop(() -> upstreams.replaceAll(1, List.of(upstream(false))));
    submit("under-way");
    caller.nextCall();
    submit("waiting");

    onLoop(() -> upstreams.update(2, List.of(upstream(true), other), List.of()));

    FakeUpstreamCaller.Call call = caller.nextCall();
    assertThat(call.target()).isEqualTo(other);
    assertThat(call.body()).isEqualTo("waiting:0");
    assertThat(caller.hasNoCalls()).isTrue();
  }

  private void submit(String request) throws InterruptedException {
    onLoop(() -> coordinator.submit(StageGroups.group(request, 1), result -> {}));
  }

  private void onLoop(Runnable action) throws InterruptedException {
    loop.submit(action).sync();
  }

  private static UpstreamRecord upstream(boolean leaving) {
    return new UpstreamRecord("u1", "service", "10.0.0.1", 1, "zone", 1, leaving);
  }
}
