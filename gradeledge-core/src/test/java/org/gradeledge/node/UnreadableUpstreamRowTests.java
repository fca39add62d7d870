package org.gradeledge.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.follow.TableChanges;
import org.gradeledge.follow.TableContent;
import org.gradeledge.follow.TableRow;
import org.junit.jupiter.api.Test;

/** Something else writes into the list of upstreams, and over rows of upstreams. */
class UnreadableUpstreamRowTests {

  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final List<String> reportedRows = new ArrayList<>();
  private final UpstreamTableListener listener =
      new UpstreamTableListener(
          upstreams,
          SimulatedUpstreamTable::readRow,
          new UnreadableRowLog(EventLogs.silent(), () -> reportedRows.add("row")),
          () -> {},
          new EmbeddedChannel().eventLoop(),
          () -> 0,
          Duration.ofSeconds(2));

  @Test
  void ignoresUnreadableRow() {
    listener.onContent(new TableContent(1, List.of(row("a"), unreadable("x", "?"), row("b"))));

    assertThat(usable()).containsExactlyInAnyOrder("a", "b");
  }

  @Test
  void removesUpstreamWhileItsRowIsUnreadable() {
    listener.onContent(new TableContent(1, List.of(row("a"), row("b"))));

    listener.onChanges(new TableChanges(2, List.of(unreadable("a", "?")), List.of()));
    assertThat(usable()).containsExactly("b");

    listener.onChanges(new TableChanges(3, List.of(row("a")), List.of()));
    assertThat(usable()).containsExactlyInAnyOrder("a", "b");
  }

  @Test
  void reportsUnreadableRowOncePerContent() {
    List<TableRow> rows = List.of(row("a"), unreadable("x", "?"), unreadable("y", "?"));
    listener.onContent(new TableContent(1, rows));
    listener.onContent(new TableContent(2, rows));
    assertThat(reportedRows).hasSize(2);

    listener.onChanges(new TableChanges(3, List.of(unreadable("x", "?other")), List.of()));
    assertThat(reportedRows).hasSize(3);
  }

  @Property(tries = 300)
  void usesAllReadableRows(@ForAll @Size(max = 20) List<@IntRange(max = 30) Integer> numbers) {
    List<TableRow> rows =
        numbers.stream()
            .distinct()
            .map(number -> number % 3 == 0 ? unreadable("k" + number, "?") : row("k" + number))
            .toList();
    Set<String> whole =
        rows.stream()
            .filter(row -> row.value()[0] != '?')
            .map(TableRow::key)
            .collect(Collectors.toSet());

    listener.onContent(new TableContent(upstreams.revision() + 1, rows));

    assertThat(usable()).containsExactlyInAnyOrderElementsOf(whole);
  }

  private List<String> usable() {
    return upstreams.usable("service").stream().map(UpstreamRecord::id).toList();
  }

  private static TableRow row(String key) {
    return new TableRow(key, key.getBytes(StandardCharsets.UTF_8));
  }

  private static TableRow unreadable(String key, String text) {
    return new TableRow(key, text.getBytes(StandardCharsets.UTF_8));
  }
}
