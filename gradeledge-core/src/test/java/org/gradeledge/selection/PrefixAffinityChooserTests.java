package org.gradeledge.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLogs;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.Test;

class PrefixAffinityChooserTests {

  private static final long MEMORY = 100_000;

  private final LoadBoard board = new LoadBoard(MonotonicClock.system(), EventLogs.silent());
  private final PrefixAffinityChooser chooser = chooser(board);
  private final List<UpstreamRecord> upstreams =
      IntStream.range(0, 4).mapToObj(i -> upstream("u" + i, "zone-" + i % 2)).toList();

  @Test
  void allBoxesSendTheSamePromptToTheSameUpstream() {
    PrefixAffinityChooser otherBox =
        chooser(new LoadBoard(MonotonicClock.system(), EventLogs.silent()));

    for (int i = 0; i < 50; i++) {
      Demand demand = demand("part-" + i, "zone-0", 0);
      assertThat(chooser.choose(upstreams, demand)).isEqualTo(otherBox.choose(upstreams, demand));
    }
  }

  @Test
  void promptsAreSpreadOverUpstreams() {
    long used =
        IntStream.range(0, 100)
            .mapToObj(
                i -> chooser.choose(upstreams, demand("part-" + i, "zone-0", 0)).orElseThrow())
            .map(UpstreamRecord::id)
            .collect(Collectors.toSet())
            .size();

    assertThat(used).isEqualTo(4);
  }

  @Test
  void anUpstreamFarAboveTheMeanIsPassedOver() {
    Demand demand = demand("part", "zone-0", 0);
    UpstreamRecord first = chooser.choose(upstreams, demand).orElseThrow();
    IntStream.range(0, 10).forEach(i -> board.started(first, 5_000));

    assertThat(chooser.choose(upstreams, demand)).isPresent().get().isNotEqualTo(first);
  }

  @Test
  void whatPeersSendThereCountsToo() {
    Demand demand = demand("part", "zone-0", 0);
    UpstreamRecord first = chooser.choose(upstreams, demand).orElseThrow();
    board.setPeerShares("other", java.util.Map.of(first.id(), new LoadShare(10, 50_000)));

    assertThat(chooser.choose(upstreams, demand)).isPresent().get().isNotEqualTo(first);
  }

  @Test
  void anUpstreamThatCannotBeConnectedToIsAvoided() {
    Demand demand = demand("part", "zone-0", 0);
    UpstreamRecord first = chooser.choose(upstreams, demand).orElseThrow();
    board.failed(first, true, "NOT_CONNECTED");

    assertThat(chooser.choose(upstreams, demand)).isPresent().get().isNotEqualTo(first);
  }

  @Test
  void largeInputsDrawTheRequestIntoTheirZone() {
    for (int i = 0; i < 20; i++) {
      Demand demand = demand("part-" + i, "zone-1", 10_000_000);
      assertThat(chooser.choose(upstreams, demand).map(UpstreamRecord::zone)).contains("zone-1");
    }
  }

  @Test
  void whereAllAreAvoidedOneIsChosenAllTheSame() {
    upstreams.forEach(each -> board.failed(each, true, "NOT_CONNECTED"));

    assertThat(chooser.choose(upstreams, demand("part", "zone-0", 0))).isPresent();
  }

  private static PrefixAffinityChooser chooser(LoadBoard board) {
    return new PrefixAffinityChooser(
        board, new LeastLoadedChooser(board, new Random(1)), upstream -> MEMORY);
  }

  private static Demand demand(String part, String zone, long zoneBytes) {
    return new Demand(Optional.of(part), 500, 1_000, zone, zoneBytes);
  }

  private static UpstreamRecord upstream(String id, String zone) {
    return new UpstreamRecord(id, "service", "127.0.0.1", 1, zone, 8, false);
  }
}
