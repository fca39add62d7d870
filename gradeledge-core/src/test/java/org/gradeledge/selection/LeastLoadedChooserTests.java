package org.gradeledge.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLogs;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.Test;

class LeastLoadedChooserTests {

  private static final Demand DEMAND = new Demand(Optional.empty(), 0, 0, "zone", 0);

  private final LoadBoard board = new LoadBoard(MonotonicClock.system(), EventLogs.silent());
  private final LeastLoadedChooser chooser = new LeastLoadedChooser(board, new Random(1));
  private final UpstreamRecord one = upstream("one");
  private final UpstreamRecord two = upstream("two");

  @Test
  void oneThatWasNeverUsedIsTried() {
    board.succeeded(one, 2);

    assertThat(timesChosen(two)).isPositive();
  }

  @Test
  void aSlowerOneIsChosenLessOften() {
    board.succeeded(one, 20);
    board.succeeded(two, 60);

    assertThat(timesChosen(one)).isGreaterThan(timesChosen(two));
  }

  @Test
  void oneWhoseSlotsAreTakenIsPassedOver() {
    IntStream.range(0, 8).forEach(i -> board.started(one, 0));

    assertThat(timesChosen(one)).isZero();
  }

  @Test
  void oneThatFailsIsChosenLessOften() {
    IntStream.range(0, 2).forEach(i -> board.failed(one, false, "status 500"));

    assertThat(timesChosen(two)).isGreaterThan(timesChosen(one));
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
