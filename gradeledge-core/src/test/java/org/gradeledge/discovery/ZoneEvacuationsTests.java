package org.gradeledge.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.gradeledge.event.EventLogs;
import org.junit.jupiter.api.Test;

/** A zone is emptied and taken back, and news of it comes late, twice and in any order. */
class ZoneEvacuationsTests {

  private final UpstreamRegistry registry = new UpstreamRegistry(EventLogs.silent());

  ZoneEvacuationsTests() {
    registry.replaceAll(1, List.of(upstream("a", "east"), upstream("b", "west")));
  }

  @Test
  void upstreamsOfAnEvacuatedZoneTakeNoNewWorkAndAreNotGone() {
    List<String> ended = new ArrayList<>();
    registry.onRetired(upstream -> ended.add(upstream.id()));

    assertThat(registry.applyEvacuations(new ZoneEvacuations(5, Set.of("east")))).isTrue();

    assertThat(registry.usable("service")).extracting(UpstreamRecord::id).containsExactly("b");
    assertThat(registry.isUsable(upstream("a", "east"))).isFalse();
    assertThat(registry.all()).hasSize(2);
    assertThat(ended).isEmpty();
  }

  @Test
  void anUpstreamThatStartsInAnEvacuatedZoneTakesNoWork() {
    registry.applyEvacuations(new ZoneEvacuations(5, Set.of("east")));

    registry.update(2, List.of(upstream("c", "east")), List.of());

    assertThat(registry.usable("service")).extracting(UpstreamRecord::id).containsExactly("b");
  }

  @Test
  void bothZonesEvacuatedLeaveNoUpstream() {
    registry.applyEvacuations(new ZoneEvacuations(5, Set.of("east", "west")));

    assertThat(registry.usable("service")).isEmpty();
  }

  @Test
  void listenersHearOfWhatIsEvacuatedAndRestored() {
    List<Set<String>> restored = new ArrayList<>();
    List<String> looks = new ArrayList<>();
    registry.onRestored(restored::add);
    registry.onZonesChanged(() -> looks.add("look"));

    registry.applyEvacuations(new ZoneEvacuations(5, Set.of("east", "west")));
    registry.applyEvacuations(new ZoneEvacuations(6, Set.of("east", "west")));
    registry.applyEvacuations(new ZoneEvacuations(7, Set.of("east")));

    assertThat(restored).containsExactly(Set.of("west"));
    assertThat(looks).hasSize(2);
    assertThat(registry.isUsable(upstream("b", "west"))).isTrue();
  }

  @Property(tries = 300)
  void theNewestOrderHoldsInWhateverOrderNewsComes(
      @ForAll @Size(min = 1, max = 12) List<@IntRange(max = 30) Integer> revisions) {
    UpstreamRegistry told = new UpstreamRegistry(EventLogs.silent());
    told.replaceAll(1, List.of(upstream("a", "east"), upstream("b", "west")));
    revisions.forEach(revision -> told.applyEvacuations(orderAt(revision)));

    int newest = revisions.stream().max(Comparator.naturalOrder()).orElseThrow();
    assertThat(told.evacuations()).isEqualTo(orderAt(newest));
    List<String> usable =
        Stream.of(upstream("a", "east"), upstream("b", "west"))
            .filter(told::isUsable)
            .map(UpstreamRecord::id)
            .toList();
    assertThat(told.usable("service"))
        .extracting(UpstreamRecord::id)
        .containsExactlyInAnyOrderElementsOf(usable);
    assertThat(told.isUsable(upstream("a", "east")))
        .isEqualTo(!orderAt(newest).zones().contains("east"));
  }

  private static ZoneEvacuations orderAt(int revision) {
    return new ZoneEvacuations(
        revision,
        switch (revision % 3) {
          case 0 -> Set.of();
          case 1 -> Set.of("east");
          default -> Set.of("east", "west");
        });
  }

  private static UpstreamRecord upstream(String id, String zone) {
    return new UpstreamRecord(id, "service", "127.0.0.1", id.charAt(0), zone, 4, false);
  }
}
