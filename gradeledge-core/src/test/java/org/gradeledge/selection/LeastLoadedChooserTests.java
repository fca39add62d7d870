package org.gradeledge.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLogs;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.Test;

class LeastLoadedChooserTests {

  private static final Demand DEMAND = new Demand(Optional.empty(), 0, 0, "zone", 0);

  private long nowMillis = 1_000;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
  private final UpstreamLoads loads = new UpstreamLoads(clock, EventLogs.silent());
  private final LeastLoadedChooser chooser = new LeastLoadedChooser(loads, new Random(1));
  private final UpstreamRecord one = upstream("one");
  private final UpstreamRecord two = upstream("two");

  @Test
  void choosesUpstreamThatWasNeverUsed() {
    loads.recordSuccess(one, 2);

    assertThat(timesChosen(two)).isPositive();
  }

  @Test
  void choosesSlowerUpstreamLessOften() {
    loads.recordSuccess(one, 20);
    loads.recordSuccess(two, 60);

    assertThat(timesChosen(one)).isGreaterThan(timesChosen(two));
  }

  @Test
  void skipsUpstreamWithoutFreeSlots() {
    IntStream.range(0, 8).forEach(i -> loads.recordStart(one, 0));

    assertThat(timesChosen(one)).isZero();
  }

  @Test
  void choosesFailingUpstreamLessOften() {
    IntStream.range(0, 2).forEach(i -> loads.recordFailure(one, false, "status 500"));

    assertThat(timesChosen(two)).isGreaterThan(timesChosen(one));
  }

  // Guards against an upstream that was slow once and is not chosen again until others are full.
  @Test
  void choosesUpstreamAgainThatWasSlowSomeTimeAgo() {
    loads.recordSuccess(one, 3_000);
    loads.recordSuccess(two, 20);
    assertThat(timesChosen(one)).isZero();

    nowMillis += 30_000;
    loads.recordSuccess(two, 20);

    assertThat(timesChosen(one)).isPositive();
  }

  // Guards against an upstream that failed for a while and is not chosen again.
  @Test
  void choosesUpstreamAgainThatFailedSomeTimeAgo() {
    loads.recordSuccess(one, 20);
    IntStream.range(0, 20).forEach(i -> loads.recordFailure(one, false, "status 500"));
    loads.recordSuccess(two, 20);
    nowMillis += 5_000;
    assertThat(timesChosen(one)).isZero();

    nowMillis += 30_000;
    loads.recordSuccess(two, 20);

    assertThat(timesChosen(one)).isPositive();
  }

  private long timesChosen(UpstreamRecord upstream) {
    return IntStream.range(0, 100)
        .mapToObj(i -> chooser.choose(List.of(one, two), DEMAND).orElseThrow())
        .filter(upstream::equals)
        .count();
  }

  private static UpstreamRecord upstream(String id) {
    return new UpstreamRecord(id, "service", "127.0.0.1", 1, "zone", 4, false);
  }
}
