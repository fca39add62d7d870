package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.retry.RetryBudget;
import org.gradeledge.selection.LoadBoard;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Results that another box left behind take room at an upstream. */
@Timeout(30)
class RoomReportsTests {

  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("u1", "service", "10.0.0.1", 1, "zone", 1, false);

  private final EventLoop loop = new DefaultEventLoop();
  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final MonotonicClock clock = MonotonicClock.system();
  private final BatchLimits limits = new BatchLimits(1, 4, 400, 1, 1_000, 60_000);
  private final BatchCoordinator coordinator =
      BatchCoordinator.builder()
          .box("box", loop, clock)
          .upstreams(upstreams, service -> Optional.of(limits))
          .calls(caller, new FakeStageProtocol())
          .beliefs(
              new LoadBoard(clock, EventLogs.silent()),
              new RetryBudget(clock, 0, 100, Duration.ofSeconds(10), () -> 1),
              EventLogs.silent())
          .build();

  @BeforeEach
  void list() throws InterruptedException {
    caller.keepRoomQuestions();
    loop.submit(() -> upstreams.replaceAll(1, List.of(UPSTREAM))).sync();
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void anUpstreamIsCalledOnlyOnceItHasToldItsRoom() throws Exception {
    submit(StageGroups.large("a", 1, 100));
    FakeUpstreamCaller.Call question = caller.nextRoomQuestion();
    assertThat(caller.isQuiet()).isTrue();

    answer(question, "1000");

    assertThat(caller.next().body()).isEqualTo("a:0");
  }

  @Test
  void whatOthersTakeIsAskedAgainUntilThereIsRoom() throws Exception {
    submit(StageGroups.large("a", 1, 400));
    answer(caller.nextRoomQuestion(), "300");
    answer(caller.nextRoomQuestion(), "0");
    FakeUpstreamCaller.Call again = caller.nextRoomQuestion();
    assertThat(caller.isQuiet()).isTrue();

    answer(again, "700");

    assertThat(caller.next().body()).isEqualTo("a:0");
  }

  @Test
  void anUpstreamThatDoesNotTellIsCalledAllTheSame() throws Exception {
    submit(StageGroups.large("a", 1, 100));
    FakeUpstreamCaller.Call question = caller.nextRoomQuestion();

    FakeUpstreamCaller.Call call = caller.next();

    assertThat(call.body()).isEqualTo("a:0");
    assertThat(question.cancelled()).isTrue();
  }

  @Test
  void anUpstreamThatCannotBeAskedIsCalledAtOnce() throws Exception {
    submit(StageGroups.large("a", 1, 100));
    FakeUpstreamCaller.Call question = caller.nextRoomQuestion();

    loop.submit(() -> question.fail(CallFailure.NOT_CONNECTED)).sync();

    assertThat(caller.next().body()).isEqualTo("a:0");
  }

  @Test
  void anUpstreamThatSaysItHasNoRoomIsAskedBeforeItIsCalledAgain() throws Exception {
    submit(StageGroups.large("a", 1, 100));
    answer(caller.nextRoomQuestion(), "1000");
    answer(caller.next(), "no_room");

    answer(caller.nextRoomQuestion(), "900");

    assertThat(caller.next().body()).isEqualTo("a:0");
  }

  private void submit(StageGroup group) throws InterruptedException {
    loop.submit(() -> coordinator.submit(group, result -> {})).sync();
  }

  private void answer(FakeUpstreamCaller.Call call, String body) throws InterruptedException {
    loop.submit(() -> call.answer(200, body)).sync();
  }
}
