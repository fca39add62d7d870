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
 * A request whose pieces crash upstreams must not crash one upstream after another, and the
 * requests that shared its calls must complete.
 */
@Timeout(30)
class CrashingPiecesTests {

  private static final int UPSTREAMS = 12;
  private static final int MAX_CRASHES = 3;
  private static final String CRASHING = "crashing";

  private final EventLoop loop = new DefaultEventLoop();
  private final FakeUpstreamCaller caller = new FakeUpstreamCaller();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final Map<String, StageGroupResult> results = new HashMap<>();
  private final List<UpstreamRecord> running = new ArrayList<>();
  private final List<List<String>> lostCalls = new ArrayList<>();
  private final BatchCoordinator coordinator =
      new CoordinatorFixture(loop, upstreams, caller)
          .withLimits(() -> Optional.of(new BatchLimits(1, 8, 400, 1, 1_000, 60_000)));

  @BeforeEach
  void start() throws Exception {
    IntStream.range(0, UPSTREAMS)
        .mapToObj(
            number ->
                new UpstreamRecord("u" + number, "service", "10.0.0.1", number, "zone", 1, false))
        .forEach(running::add);
    loop.submit(() -> upstreams.replaceAll(1, running.subList(0, 1))).sync();
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void aRequestThatCrashesUpstreamsFailsAndAllOthersComplete() throws Exception {
    loop.submit(
            () -> {
              for (String request : List.of("a", "b", CRASHING, "c", "d")) {
                coordinator.submit(
                    StageGroups.group(request, 2), result -> results.put(request, result));
              }
            })
        .sync();

    while (loop.submit(() -> results.size()).get() < 5) {
      serve(caller.nextCall());
    }

    assertThat(lostCalls).hasSizeLessThanOrEqualTo(MAX_CRASHES);
    assertThat(lostCalls.get(0)).as("the first lost call, shared by several requests").hasSize(8);
    assertThat(lostCalls.stream().skip(1).flatMap(List::stream))
        .as("pieces of the later lost calls")
        .allMatch(piece -> piece.startsWith(CRASHING));
    assertThat(results.get(CRASHING).outcome()).isEqualTo(StageOutcome.FAILED);
    assertThat(
            List.of("a", "b", "c", "d").stream()
                .map(request -> results.get(request).outcome())
                .distinct())
        .containsExactly(StageOutcome.MADE);
  }

  /** Crashes the upstream if the call has a piece of the crashing request, or else answers it. */
  private void serve(FakeUpstreamCaller.Call call) throws InterruptedException {
    List<String> pieces = Arrays.asList(call.body().split(" "));
    if (call.uri().equals("/free")) {
      return;
    }
    if (!running.contains(call.target())) {
      loop.submit(() -> call.fail(CallFailure.NOT_CONNECTED)).sync();
      return;
    }
    if (pieces.stream().noneMatch(piece -> piece.startsWith(CRASHING))) {
      String handles =
          pieces.stream().map(piece -> "10.0.0.1:1/" + piece).collect(Collectors.joining(" "));
      loop.submit(() -> call.respond(200, handles)).sync();
      return;
    }
    lostCalls.add(pieces);
    running.remove(call.target());
    loop.submit(
            () -> {
              upstreams.update(1 + lostCalls.size(), running, List.of());
              call.fail(CallFailure.BROKEN);
              caller.completeProbes();
            })
        .sync();
  }
}
