package org.gradeledge.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.BatchLimits;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The pieces of many requests share a call. One of them may end each upstream that makes it, and
 * takes the call along; made again together, as long as retries last, they would end all.
 */
@Timeout(30)
class CrashingPiecesTests {

  private static final int UPSTREAMS = 12;
  private static final int MOST_ENDED = 3;
  private static final String GUILTY = "guilty";

  private final EventLoop loop = new DefaultEventLoop();
  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final Map<String, StageGroupResult> results = new HashMap<>();
  private final List<UpstreamRecord> living = new ArrayList<>();
  private final List<List<String>> lost = new ArrayList<>();
  private final BatchCoordinator coordinator =
      new CoordinatorFixture(loop, upstreams, caller)
          .withLimits(() -> Optional.of(new BatchLimits(1, 8, 400, 1, 1_000, 60_000)));

  @BeforeEach
  void start() throws Exception {
    IntStream.range(0, UPSTREAMS)
        .mapToObj(
            number ->
                new UpstreamRecord("u" + number, "service", "10.0.0.1", number, "zone", 1, false))
        .forEach(living::add);
    loop.submit(() -> upstreams.replaceAll(1, living.subList(0, 1))).sync();
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void aRequestWhosePiecesEndTheirUpstreamsIsGivenUpAndAllOthersAreMade() throws Exception {
    loop.submit(
            () -> {
              for (String request : List.of("a", "b", GUILTY, "c", "d")) {
                coordinator.submit(
                    StageGroups.group(request, 2), result -> results.put(request, result));
              }
            })
        .sync();

    while (loop.submit(() -> results.size()).get() < 5) {
      serve(caller.nextCall());
    }

    assertThat(lost).hasSizeLessThanOrEqualTo(MOST_ENDED);
    assertThat(lost.get(0)).as("the call that they share").hasSize(8);
    assertThat(lost.stream().skip(1).flatMap(List::stream))
        .as("what was lost after that")
        .allMatch(piece -> piece.startsWith(GUILTY));
    assertThat(results.get(GUILTY).outcome()).isEqualTo(StageOutcome.FAILED);
    assertThat(
            List.of("a", "b", "c", "d").stream()
                .map(request -> results.get(request).outcome())
                .distinct())
        .containsExactly(StageOutcome.MADE);
  }

  /**
   * Ends the upstream if the call has a piece of the guilty request, else makes all, if it is
   * there.
   */
  private void serve(FakeUpstreamCaller.Call call) throws InterruptedException {
    List<String> pieces = Arrays.asList(call.body().split(" "));
    if (call.uri().equals("/free")) {
      return;
    }
    if (!living.contains(call.target())) {
      loop.submit(() -> call.fail(CallFailure.NOT_CONNECTED)).sync();
      return;
    }
    if (pieces.stream().noneMatch(piece -> piece.startsWith(GUILTY))) {
      String handles =
          pieces.stream().map(piece -> "10.0.0.1:1/" + piece).collect(Collectors.joining(" "));
      loop.submit(() -> call.respond(200, handles)).sync();
      return;
    }
    lost.add(pieces);
    living.remove(call.target());
    loop.submit(
            () -> {
              upstreams.update(1 + lost.size(), living, List.of());
              call.fail(CallFailure.BROKEN);
              caller.completeProbes();
            })
        .sync();
  }
}
