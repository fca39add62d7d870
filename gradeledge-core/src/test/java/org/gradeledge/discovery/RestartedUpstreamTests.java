package org.gradeledge.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.gradeledge.event.EventLogs;
import org.junit.jupiter.api.Test;

/**
 * An upstream starts again under the id that it had, and news of both starts comes in any order.
 */
class RestartedUpstreamTests {

  private final UpstreamRegistry registry = new UpstreamRegistry(EventLogs.silent());
  private final List<String> ended = new ArrayList<>();
  private final List<String> replaced = new ArrayList<>();

  RestartedUpstreamTests() {
    registry.onRetired(upstream -> ended.add(upstream.incarnationId()));
    registry.onReplaced(upstream -> replaced.add(upstream.incarnationId()));
  }

  @Test
  void whatLeftAsOneStartServesAsTheNext() {
    registry.replaceAll(1, List.of(start(10, false)));
    registry.update(2, List.of(start(10, true)), List.of());
    registry.update(3, List.of(), List.of("id"));

    registry.update(4, List.of(start(20, false)), List.of());

    assertThat(registry.usable("service")).containsExactly(start(20, false));
    assertThat(ended).containsExactly(start(10, false).incarnationId());
  }

  @Test
  void aNewerStartEndsTheOneBeforeAlsoWhereThatNeverSaidThatItLeaves() {
    registry.replaceAll(1, List.of(start(10, false)));

    registry.update(2, List.of(start(20, false)), List.of());

    assertThat(registry.usable("service")).containsExactly(start(20, false));
    assertThat(registry.isUsable(start(10, false))).isFalse();
    assertThat(ended).containsExactly(start(10, false).incarnationId());
    assertThat(replaced).containsExactly(start(10, false).incarnationId());
  }

  @Test
  void whatIsHeardOfAnOlderStartChangesNothing() {
    registry.replaceAll(1, List.of(start(20, false)));

    registry.update(2, List.of(start(10, true)), List.of());
    registry.markGone(start(10, false));
    registry.recordConnectionClose(start(10, false));

    assertThat(registry.usable("service")).containsExactly(start(20, false));
    assertThat(ended).isEmpty();
  }

  @Test
  void anOlderStartDoesNotComeBackOnceANewerOneHasLeft() {
    registry.replaceAll(1, List.of(start(20, true)));
    registry.update(2, List.of(), List.of("id"));

    registry.update(3, List.of(start(10, false)), List.of());

    assertThat(registry.usable("service")).isEmpty();
  }

  @Test
  void aNewerStartOfOneWhoseEntryLapsedIsNotTheOneThatLapsed() {
    registry.replaceAll(1, List.of(start(10, false)));
    registry.distrustRemovals();
    registry.update(2, List.of(), List.of("id"));
    registry.update(3, List.of(start(20, false)), List.of());

    registry.recordConnectionClose(start(10, false));
    registry.trustRemovals();

    assertThat(registry.usable("service")).containsExactly(start(20, false));
  }

  @Property(tries = 500)
  void inWhateverOrderNewsComesTheNewestStartCounts(
      @ForAll @Size(min = 1, max = 12) List<@IntRange(max = 15) Integer> news) {
    UpstreamRegistry told = new UpstreamRegistry(EventLogs.silent());
    List<UpstreamRecord> reports = news.stream().map(RestartedUpstreamTests::report).toList();
    for (int i = 0; i < reports.size(); i++) {
      told.update(i, List.of(reports.get(i)), List.of());
    }

    long newest = reports.stream().mapToLong(UpstreamRecord::startedAtMillis).max().orElseThrow();
    boolean left =
        reports.stream().anyMatch(report -> report.startedAtMillis() == newest && report.leaving());
    assertThat(told.usable("service")).hasSize(left ? 0 : 1);
    assertThat(told.usable("service")).allMatch(upstream -> upstream.startedAtMillis() == newest);
    assertThat(told.all())
        .extracting(UpstreamRecord::startedAtMillis)
        .containsExactly(
            reports.stream()
                .max(Comparator.comparing(UpstreamRecord::startedAtMillis))
                .get()
                .startedAtMillis());
  }

  private static UpstreamRecord report(int number) {
    return start(1 + number / 3, number % 3 == 2);
  }

  private static UpstreamRecord start(long born, boolean leaving) {
    return new UpstreamRecord("id", born, "service", "10.0.0.1", 1, "zone", 1, leaving, 0);
  }
}
