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

  private static final long MEMORY_TOKENS = 100_000;

  private final UpstreamLoads loads =
      new UpstreamLoads(MonotonicClock.system(), EventLogs.silent());
  private final PrefixAffinityChooser chooser = chooser(loads);
  private final List<UpstreamRecord> upstreams =
      IntStream.range(0, 4).mapToObj(i -> upstream("u" + i, "zone-" + i % 2)).toList();

  @Test
  void allBoxesChooseSameUpstreamForSamePrompt() {
    PrefixAffinityChooser otherBox =
        chooser(new UpstreamLoads(MonotonicClock.system(), EventLogs.silent()));

    for (int i = 0; i < 50; i++) {
      Demand demand = demand("part-" + i, "zone-0", 0);
      assertThat(chooser.choose(upstreams, demand)).isEqualTo(otherBox.choose(upstreams, demand));
    }
  }

  @Test
  void spreadsPromptsOverUpstreams() {
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
  void skipsUpstreamLoadedFarAboveMean() {
    Demand demand = demand("part", "zone-0", 0);
    UpstreamRecord first = chooser.choose(upstreams, demand).orElseThrow();
    IntStream.range(0, 10).forEach(i -> loads.recordStart(first, 5_000));

    assertThat(chooser.choose(upstreams, demand)).isPresent().get().isNotEqualTo(first);
  }

  @Test
  void countsLoadOfPeers() {
    Demand demand = demand("part", "zone-0", 0);
    UpstreamRecord first = chooser.choose(upstreams, demand).orElseThrow();
    loads.setPeerLoads("other", java.util.Map.of(first.id(), new BoxLoad(10, 50_000)));

    assertThat(chooser.choose(upstreams, demand)).isPresent().get().isNotEqualTo(first);
  }

  @Test
  void avoidsUpstreamThatRefusesConnections() {
    Demand demand = demand("part", "zone-0", 0);
    UpstreamRecord first = chooser.choose(upstreams, demand).orElseThrow();
    loads.recordFailure(first, true, "NOT_CONNECTED");

    assertThat(chooser.choose(upstreams, demand)).isPresent().get().isNotEqualTo(first);
  }

  @Test
  void prefersZoneOfLargeInputs() {
    for (int i = 0; i < 20; i++) {
      Demand demand = demand("part-" + i, "zone-1", 10_000_000);
      assertThat(chooser.choose(upstreams, demand).map(UpstreamRecord::zone)).contains("zone-1");
    }
  }

  @Test
  void choosesAvoidedUpstreamWhenAllAreAvoided() {
    upstreams.forEach(each -> loads.recordFailure(each, true, "NOT_CONNECTED"));

    assertThat(chooser.choose(upstreams, demand("part", "zone-0", 0))).isPresent();
  }

  private static PrefixAffinityChooser chooser(UpstreamLoads board) {
    return new PrefixAffinityChooser(
        board, new LeastLoadedChooser(board, new Random(1)), upstream -> MEMORY_TOKENS);
  }

  private static Demand demand(String part, String zone, long zoneBytes) {
    return new Demand(Optional.of(part), 500, 1_000, zone, zoneBytes);
  }

  private static UpstreamRecord upstream(String id, String zone) {
    return new UpstreamRecord(id, "service", "127.0.0.1", 1, zone, 8, false);
  }
}
