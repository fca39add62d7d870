package org.gradeledge.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.gradeledge.event.EventLogs;
import org.junit.jupiter.api.Test;

class UpstreamRegistryTests {

  private final UpstreamRegistry registry = new UpstreamRegistry(EventLogs.silent());

  @Test
  void leavingUpstreamAcceptsNoRequestsDespiteAnOutdatedEntry() {
    List<String> retired = new ArrayList<>();
    registry.onRetired(upstream -> retired.add(upstream.id()));
    registry.replaceAll(1, List.of(upstream("a", false), upstream("b", false)));

    registry.update(2, List.of(upstream("a", true)), List.of());
    registry.update(3, List.of(upstream("a", false)), List.of());

    assertThat(registry.usable("service")).extracting(UpstreamRecord::id).containsExactly("b");
    assertThat(retired).containsExactly("a");
  }

  /** Guards against resources that stay allocated because another listener failed. */
  @Test
  void failingListenerDoesNotPreventOthersFromBeingNotified() {
    List<String> retired = new ArrayList<>();
    registry.onRetired(
        upstream -> {
          throw new IllegalStateException("simulated listener failure");
        });
    registry.onRetired(upstream -> retired.add(upstream.id()));
    registry.replaceAll(1, List.of(upstream("a", false), upstream("b", false)));

    registry.replaceAll(2, List.of());

    assertThat(retired).containsExactlyInAnyOrder("a", "b");
    assertThat(registry.usable("service")).isEmpty();
  }

  @Test
  void upstreamWhoseEntryLapsedMayReturn() {
    registry.replaceAll(1, List.of(upstream("a", false)));
    registry.update(2, List.of(), List.of("a"));
    assertThat(registry.usable("service")).isEmpty();

    registry.update(3, List.of(upstream("a", false)), List.of());

    assertThat(isUsable("a")).isTrue();
  }

  @Test
  void entryRemovedDuringAnOutageStaysInUseUntilRemovalsAreTrusted() {
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
  void lapsedEntryThatIsRenewedInTimeIsNotRemoved() {
    List<String> retired = new ArrayList<>();
    registry.onRetired(upstream -> retired.add(upstream.id()));
    registry.replaceAll(1, List.of(upstream("a", false)));
    registry.distrustRemovals();
    registry.update(4, List.of(), List.of("a"));
    registry.update(5, List.of(upstream("a", false)), List.of());

    registry.trustRemovals();

    assertThat(isUsable("a")).isTrue();
    assertThat(retired).isEmpty();
  }

  @Test
  void leavingUpstreamIsRemovedImmediatelyDuringAnOutage() {
    registry.replaceAll(1, List.of(upstream("a", false)));
    registry.distrustRemovals();
    registry.update(4, List.of(upstream("a", true)), List.of());
    assertThat(isUsable("a")).isFalse();

    registry.update(5, List.of(), List.of("a"));

    assertThat(registry.all()).isEmpty();
  }

  @Test
  void lapsedUpstreamThatClosesConnectionsIsUnusedUntilItsEntryIsRenewed() {
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
  void listenersSeeARetiredUpstreamAlreadyOutOfUse() {
    List<Integer> usableCounts = new ArrayList<>();
    registry.onRetired(upstream -> usableCounts.add(registry.usable("service").size()));
    registry.replaceAll(1, List.of(upstream("a", false), upstream("b", false)));

    registry.update(2, List.of(upstream("a", true)), List.of());
    registry.update(3, List.of(), List.of("b"));

    assertThat(usableCounts).containsExactly(1, 0);
  }

  @Test
  void outdatedListIsIgnored() {
    registry.replaceAll(5, List.of(upstream("a", false)));
    registry.replaceAll(4, List.of(upstream("b", false)));

    assertThat(isUsable("a")).isTrue();
    assertThat(isUsable("b")).isFalse();
    assertThat(registry.revision()).isEqualTo(5);
  }

  @Test
  void upstreamMarkedAsGoneDoesNotReturn() {
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
