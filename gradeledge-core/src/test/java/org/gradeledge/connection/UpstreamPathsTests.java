package org.gradeledge.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLogs;
import org.junit.jupiter.api.Test;

class UpstreamPathsTests {

  private static final UpstreamRecord FIRST = upstream(1);
  private static final UpstreamRecord SECOND = upstream(2);

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private long nowMillis = 1_000_000;
  private List<UpstreamRecord> known = List.of(FIRST, SECOND);
  private final Map<UpstreamRecord, PathCheck> results = new HashMap<>();
  private final List<UpstreamRecord> checked = new ArrayList<>();
  private final List<UpstreamRecord> silent = new ArrayList<>();
  private final UpstreamPaths paths =
      new UpstreamPaths(
          channel.eventLoop(),
          () -> TimeUnit.MILLISECONDS.toNanos(nowMillis),
          EventLogs.silent(),
          () -> known,
          (target, listener) -> {
            checked.add(target);
            listener.accept(results.getOrDefault(target, PathCheck.REACHED));
          });

  UpstreamPathsTests() {
    channel.freezeTime();
    paths.onSilent(silent::add);
  }

  // Guards against taking an upstream that is down for one behind a partition.
  @Test
  void failedPathIsNotLostUntilAnotherBoxReachesTheUpstream() {
    paths.recordFailed(FIRST, PathCheck.REFUSED);
    assertThat(paths.hasFailed(FIRST)).isTrue();
    assertThat(paths.isLost(FIRST)).isFalse();

    paths.recordReachedBy("box", FIRST, PathCheck.REFUSED);

    assertThat(paths.isLost(FIRST)).isTrue();
    assertThat(paths.lostCount()).isEqualTo(1);
  }

  // Guards against finding out about each upstream by a request of its own.
  @Test
  void lostPathHasAllOthersChecked() {
    results.put(SECOND, PathCheck.SILENT);

    paths.recordReachedBy("box", FIRST, PathCheck.SILENT);

    assertThat(checked).containsExactly(SECOND);
    assertThat(paths.hasFailed(SECOND)).isTrue();
    assertThat(silent).containsExactlyInAnyOrder(FIRST, SECOND);
  }

  // Guards against using tunnels after a partition has ended.
  @Test
  void lostPathIsUsedAgainAfterOneSuccessfulCheck() {
    results.put(FIRST, PathCheck.SILENT);
    paths.recordReachedBy("box", FIRST, PathCheck.SILENT);
    advance(UpstreamPaths.CHECK_INTERVAL.toMillis());
    assertThat(paths.isLost(FIRST)).isTrue();

    results.put(FIRST, PathCheck.REACHED);
    advance(UpstreamPaths.CHECK_INTERVAL.toMillis());

    assertThat(paths.hasFailed(FIRST)).isFalse();
    checked.clear();
    advance(10 * UpstreamPaths.CHECK_INTERVAL.toMillis());
    assertThat(checked).isEmpty();
  }

  @Test
  void connectionsThatWorkWhileNewOnesAreRefusedAreKept() {
    paths.recordReachedBy("box", FIRST, PathCheck.REFUSED);

    assertThat(silent).isEmpty();
  }

  // Guards against waiting again for an upstream that no box has reached a moment ago.
  @Test
  void upstreamThatNoBoxReachedIsUnreachableForAMoment() {
    paths.recordFailed(FIRST, PathCheck.SILENT);
    paths.recordUnreachable(FIRST);
    assertThat(paths.isUnreachable(FIRST)).isTrue();

    nowMillis += 250;

    assertThat(paths.isUnreachable(FIRST)).isFalse();
  }

  @Test
  void upstreamThatIsGoneIsNotCheckedAgain() {
    results.put(FIRST, PathCheck.REFUSED);
    paths.recordFailed(FIRST, PathCheck.REFUSED);
    paths.remove(FIRST);

    advance(10 * UpstreamPaths.CHECK_INTERVAL.toMillis());

    assertThat(checked).isEmpty();
  }

  // Guards against checking the address of an upstream that failed while it was leaving for ever.
  @Test
  void upstreamThatIsNoLongerKnownIsNotCheckedAgain() {
    results.put(FIRST, PathCheck.REFUSED);
    paths.recordFailed(FIRST, PathCheck.REFUSED);
    known = List.of(SECOND);

    advance(10 * UpstreamPaths.CHECK_INTERVAL.toMillis());

    assertThat(checked).isEmpty();
    assertThat(paths.hasFailed(FIRST)).isFalse();
  }

  private void advance(long millis) {
    nowMillis += millis;
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  private static UpstreamRecord upstream(int number) {
    return new UpstreamRecord("u" + number, "service", "10.0.0.1", number, "zone", 8, false);
  }
}
