package org.gradeledge.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.gradeledge.event.EventLogs;
import org.junit.jupiter.api.Test;

/**
 * Guards against confusing incarnations of a restarted upstream when reports about them arrive in
 * any order.
 */
class RestartedUpstreamTests {

  private final UpstreamRegistry registry = new UpstreamRegistry(EventLogs.silent());
  private final List<String> retired = new ArrayList<>();
  private final List<String> replaced = new ArrayList<>();

  RestartedUpstreamTests() {
    registry.onRetired(upstream -> retired.add(upstream.incarnationId()));
    registry.onReplaced(upstream -> replaced.add(upstream.incarnationId()));
  }

  @Test
  void nextIncarnationIsUsedAfterThePreviousOneLeft() {
    registry.replaceAll(1, List.of(incarnation(10, false)));
    registry.update(2, List.of(incarnation(10, true)), List.of());
    registry.update(3, List.of(), List.of("id"));

    registry.update(4, List.of(incarnation(20, false)), List.of());

    assertThat(registry.usable("service")).containsExactly(incarnation(20, false));
    assertThat(retired).containsExactly(incarnation(10, false).incarnationId());
  }

  @Test
  void laterIncarnationRetiresThePreviousOneThatNeverAnnouncedLeaving() {
    registry.replaceAll(1, List.of(incarnation(10, false)));

    registry.update(2, List.of(incarnation(20, false)), List.of());

    assertThat(registry.usable("service")).containsExactly(incarnation(20, false));
    assertThat(registry.isUsable(incarnation(10, false))).isFalse();
    assertThat(retired).containsExactly(incarnation(10, false).incarnationId());
    assertThat(replaced).containsExactly(incarnation(10, false).incarnationId());
  }

  @Test
  void reportsAboutAnEarlierIncarnationAreIgnored() {
    registry.replaceAll(1, List.of(incarnation(20, false)));

    registry.update(2, List.of(incarnation(10, true)), List.of());
    registry.markGone(incarnation(10, false));
    registry.recordConnectionClose(incarnation(10, false));

    assertThat(registry.usable("service")).containsExactly(incarnation(20, false));
    assertThat(retired).isEmpty();
  }

  @Test
  void earlierIncarnationDoesNotReturnAfterALaterOneHasLeft() {
    registry.replaceAll(1, List.of(incarnation(20, true)));
    registry.update(2, List.of(), List.of("id"));

    registry.update(3, List.of(incarnation(10, false)), List.of());

    assertThat(registry.usable("service")).isEmpty();
  }

  @Test
  void laterIncarnationIsUnaffectedByTheLapseOfThePreviousOne() {
    registry.replaceAll(1, List.of(incarnation(10, false)));
    registry.distrustRemovals();
    registry.update(2, List.of(), List.of("id"));
    registry.update(3, List.of(incarnation(20, false)), List.of());

    registry.recordConnectionClose(incarnation(10, false));
    registry.trustRemovals();

    assertThat(registry.usable("service")).containsExactly(incarnation(20, false));
  }

  @Property(tries = 500)
  void latestIncarnationIsUsedWhateverTheOrderOfReports(
      @ForAll @Size(min = 1, max = 12) List<@IntRange(max = 15) Integer> reportNumbers) {
    UpstreamRegistry tested = new UpstreamRegistry(EventLogs.silent());
    List<UpstreamRecord> reports =
        reportNumbers.stream().map(RestartedUpstreamTests::report).toList();
    for (int i = 0; i < reports.size(); i++) {
      tested.update(i, List.of(reports.get(i)), List.of());
    }

    long latestStart = reports.stream().mapToLong(UpstreamRecord::born).max().orElseThrow();
    boolean left =
        reports.stream().anyMatch(report -> report.born() == latestStart && report.leaving());
    assertThat(tested.usable("service")).hasSize(left ? 0 : 1);
    assertThat(tested.usable("service")).allMatch(upstream -> upstream.born() == latestStart);
    assertThat(tested.all())
        .extracting(UpstreamRecord::born)
        .containsExactly(
            reports.stream().max(Comparator.comparing(UpstreamRecord::born)).get().born());
  }

  private static UpstreamRecord report(int number) {
    return incarnation(1 + number / 3, number % 3 == 2);
  }

  private static UpstreamRecord incarnation(long startedAtMillis, boolean leaving) {
    return new UpstreamRecord(
        "id", startedAtMillis, "service", "10.0.0.1", 1, "zone", 1, leaving, 0, Optional.empty());
  }
}
