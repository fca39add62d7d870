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
 * Waiting pieces must not be dispatched to an upstream that was just removed: the registry must
 * rebuild its index before it notifies listeners.
 */
@Timeout(30)
class LeavingUpstreamTests {

  /** The ways in which an upstream is removed from use. */
  enum Removal {
    LEAVING_ANNOUNCED(registry -> registry.update(2, List.of(upstream(true)), List.of())),
    ENTRY_REMOVED(registry -> registry.update(2, List.of(), List.of("u1"))),
    MISSING_FROM_COMPLETE_LIST(registry -> registry.replaceAll(2, List.of())),
    ADDRESS_REUSED(registry -> registry.markGone(upstream(false))),
    REMOVAL_CONFIRMED_AFTER_DISTRUST(
        registry -> {
          registry.distrustRemovals();
          registry.update(2, List.of(), List.of("u1"));
          registry.trustRemovals();
        });

    private final Consumer<UpstreamRegistry> change;

    Removal(Consumer<UpstreamRegistry> change) {
      this.change = change;
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
  void waitingPiecesAreNotSentToARemovedUpstream(Removal removal) throws Exception {
    onLoop(() -> upstreams.replaceAll(1, List.of(upstream(false))));
    submit("in-flight");
    assertThat(caller.nextCall().body()).isEqualTo("in-flight:0");
    submit("waiting");
    assertThat(caller.hasNoCalls()).isTrue();

    onLoop(() -> removal.change.accept(upstreams));

    assertThat(caller.hasNoCalls()).isTrue();
  }

  @Test
  void waitingPiecesAreSentToAnotherUpstreamImmediately() throws Exception {
    UpstreamRecord other = new UpstreamRecord("u2", "service", "10.0.0.2", 2, "zone", 1, false);
    onLoop(() -> upstreams.replaceAll(1, List.of(upstream(false))));
    submit("in-flight");
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
