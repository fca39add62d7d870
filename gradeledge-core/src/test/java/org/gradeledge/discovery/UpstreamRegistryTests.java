package org.gradeledge.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.gradeledge.event.EventLogs;
import org.junit.jupiter.api.Test;

class UpstreamRegistryTests {

  private final UpstreamRegistry registry = new UpstreamRegistry(EventLogs.silent());

  @Test
  void aLeavingUpstreamTakesNoNewWorkAndAnOlderReportDoesNotUndoThat() {
    List<String> ended = new ArrayList<>();
    registry.onRetired(upstream -> ended.add(upstream.id()));
    registry.replaceAll(1, List.of(upstream("a", false), upstream("b", false)));

    registry.update(2, List.of(upstream("a", true)), List.of());
    registry.update(3, List.of(upstream("a", false)), List.of());

    assertThat(registry.usable("service")).extracting(UpstreamRecord::id).containsExactly("b");
    assertThat(ended).containsExactly("a");
  }

  /** Each listener gives up its own part of what an upstream held; one must not stand for all. */
  @Test
  void aListenerThatFailsKeepsNoOtherFromHearing() {
    List<String> ended = new ArrayList<>();
    registry.onRetired(
        upstream -> {
          throw new IllegalStateException("a listener that fails");
        });
    registry.onRetired(upstream -> ended.add(upstream.id()));
    registry.replaceAll(1, List.of(upstream("a", false), upstream("b", false)));

    registry.replaceAll(2, List.of());

    assertThat(ended).containsExactlyInAnyOrder("a", "b");
    assertThat(registry.usable("service")).isEmpty();
  }

  @Test
  void anUpstreamWhoseEntryLapsedMayComeBack() {
    registry.replaceAll(1, List.of(upstream("a", false)));
    registry.update(2, List.of(), List.of("a"));
    assertThat(registry.usable("service")).isEmpty();

    registry.update(3, List.of(upstream("a", false)), List.of());

    assertThat(isUsable("a")).isTrue();
  }

  @Test
  void anEntryThatVanishesWhileTheSourceIsAwayStaysInUseUntilTheListCanBeTrusted() {
    registry.replaceAll(1, List.of(upstream("a", false), upstream("b", false)));
    registry.distrustRemovals();
    registry.replaceAll(5, List.of(upstream("b", false)));
    assertThat(isUsable("a")).isTrue();
    assertThat(registry.listed()).extracting(UpstreamRecord::id).containsExactly("b");

    registry.trustRemovals();

    assertThat(isUsable("a")).isFalse();
    assertThat(registry.usable("service")).extracting(UpstreamRecord::id).containsExactly("b");
  }

  @Test
  void anEntryThatLapsedAndIsBackInTimeIsNeverGone() {
    List<String> ended = new ArrayList<>();
    registry.onRetired(upstream -> ended.add(upstream.id()));
    registry.replaceAll(1, List.of(upstream("a", false)));
    registry.distrustRemovals();
    registry.update(4, List.of(), List.of("a"));
    registry.update(5, List.of(upstream("a", false)), List.of());

    registry.trustRemovals();

    assertThat(isUsable("a")).isTrue();
    assertThat(ended).isEmpty();
  }

  @Test
  void whatHasSaidThatItLeavesIsGoneAtOnceAlsoWhileTheSourceIsAway() {
    registry.replaceAll(1, List.of(upstream("a", false)));
    registry.distrustRemovals();
    registry.update(4, List.of(upstream("a", true)), List.of());
    assertThat(isUsable("a")).isFalse();

    registry.update(5, List.of(), List.of("a"));

    assertThat(registry.all()).isEmpty();
  }

  @Test
  void oneThatClosesConnectionsAndWhoseEntryHasVanishedIsOutOfUseUntilItRenewsThat() {
    registry.replaceAll(1, List.of(upstream("a", false), upstream("b", false)));
    registry.distrustRemovals();
    registry.update(2, List.of(), List.of("a"));

    registry.recordConnectionClose(upstream("a", false));
    registry.recordConnectionClose(upstream("b", false));
    assertThat(registry.usable("service")).extracting(UpstreamRecord::id).containsExactly("b");

    registry.update(3, List.of(upstream("a", false)), List.of());
    assertThat(isUsable("a")).isTrue();
  }

  @Test
  void whoeverHearsOfAnEndFindsTheUpstreamOutOfTheChoice() {
    List<Integer> left = new ArrayList<>();
    registry.onRetired(upstream -> left.add(registry.usable("service").size()));
    registry.replaceAll(1, List.of(upstream("a", false), upstream("b", false)));

    registry.update(2, List.of(upstream("a", true)), List.of());
    registry.update(3, List.of(), List.of("b"));

    assertThat(left).containsExactly(1, 0);
  }

  @Test
  void anOlderListIsPassedOver() {
    registry.replaceAll(5, List.of(upstream("a", false)));
    registry.replaceAll(4, List.of(upstream("b", false)));

    assertThat(isUsable("a")).isTrue();
    assertThat(isUsable("b")).isFalse();
    assertThat(registry.revision()).isEqualTo(5);
  }

  @Test
  void oneWhoseAddressAnotherHasIsGoneForGood() {
    registry.replaceAll(1, List.of(upstream("a", false)));
    registry.markGone(upstream("a", false));
    registry.update(2, List.of(upstream("a", false)), List.of());

    assertThat(isUsable("a")).isFalse();
  }

  private boolean isUsable(String id) {
    return registry.usable("service").stream().anyMatch(upstream -> upstream.id().equals(id));
  }

  private static UpstreamRecord upstream(String id, boolean leaving) {
    return new UpstreamRecord(id, "service", "127.0.0.1", 1, "zone", 1, leaving);
  }
}
