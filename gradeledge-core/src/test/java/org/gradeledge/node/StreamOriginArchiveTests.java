package org.gradeledge.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gradeledge.event.RecordedEventLog;
import org.gradeledge.follow.TableRow;
import org.gradeledge.resumption.OriginRecord;
import org.junit.jupiter.api.Test;

/** Archives of boxes that share one table, in virtual time. */
class StreamOriginArchiveTests {

  private static final long RETENTION_MILLIS = 17_000;

  /** An event loop for each box that has not been lost. */
  private final List<EmbeddedChannel> loops = new ArrayList<>();

  private final FakeWritableTable table = new FakeWritableTable();
  private final List<Set<Long>> found = new ArrayList<>();
  private long nowMillis = 1_000_000;

  // Guards against streams that nobody knows once all boxes were lost at the same time.
  @Test
  void nextBoxFindsRecordsOfBoxThatWasLost() {
    newArchive("lost").add(List.of(record(1, 10), record(2, 20)));
    advance(400);

    assertThat(find(newArchive("next"), 1)).containsExactly(10L);
    assertThat(find(newArchive("next"), 2)).containsExactly(20L);
    assertThat(find(newArchive("next"), 3)).isEmpty();
  }

  @Test
  void collectsRecordsInOneRow() {
    StreamOriginArchive archive = newArchive("box");
    for (int stream = 0; stream < 50; stream++) {
      archive.add(List.of(record(stream, 10)));
    }
    advance(400);

    assertThat(table.keys()).hasSize(1);
  }

  @Test
  void removesExpiredRowsOfBoxThatWasLost() {
    newArchive("lost").add(List.of(record(1, 10)));
    advance(400);
    loops.clear();

    newArchive("next").add(List.of(record(2, 20)));
    for (int second = 0; second < 60; second++) {
      advance(1_000);
    }

    assertThat(table.keys()).isEmpty();
  }

  @Test
  void removesExpiredRowsWhileNothingIsRecorded() {
    newArchive("box").add(List.of(record(1, 10)));
    advance(400);
    assertThat(table.keys()).hasSize(1);

    for (int second = 0; second < 40; second++) {
      advance(1_000);
    }

    assertThat(table.keys()).isEmpty();
  }

  // Guards against rows that are removed while callers may still come back for their streams.
  @Test
  void keepsRowsOfBoxThatWasLostForTheirRetention() {
    newArchive("lost").add(List.of(record(1, 10)));
    advance(400);
    loops.clear();

    StreamOriginArchive next = newArchive("next");
    next.add(List.of(record(2, 20)));
    advance(RETENTION_MILLIS - 1);

    assertThat(table.keys()).anyMatch(key -> key.startsWith("lost"));
  }

  // Guards against records that are lost since the table did not answer once.
  @Test
  void writesAgainAfterTheTableWasUnavailable() {
    StreamOriginArchive archive = newArchive("box");
    table.unavailable = true;
    archive.add(List.of(record(1, 10)));
    advance(400);
    table.unavailable = false;
    advance(1_000);

    assertThat(find(newArchive("next"), 1)).containsExactly(10L);
  }

  // Guards against a caller that waits while the table does not answer.
  @Test
  void findsNothingWhileTheTableIsUnavailable() {
    newArchive("lost").add(List.of(record(1, 10)));
    advance(400);
    table.unavailable = true;
    StreamOriginArchive next = newArchive("next");
    assertThat(find(next, 1)).isEmpty();

    table.unavailable = false;

    assertThat(find(next, 1)).containsExactly(10L);
  }

  // Guards against a record that names another version after the store was restored from a backup.
  @Test
  void recordsFromBackupAreTheSame() {
    newArchive("lost").add(List.of(record(1, 10)));
    advance(400);
    List<TableRow> backup = table.content().rows();
    newArchive("lost").add(List.of(record(2, 20)));
    advance(400);
    table.restoreBackup(backup);

    assertThat(find(newArchive("next"), 1)).containsExactly(10L);
    assertThat(find(newArchive("next"), 2)).isEmpty();
  }

  // Guards against records of one id that contradict each other of which one is believed.
  @Test
  void findsAllOriginsOfAStream() {
    newArchive("lost").add(List.of(record(1, 10)));
    newArchive("other").add(List.of(record(1, 11)));
    advance(400);

    assertThat(find(newArchive("next"), 1)).containsExactlyInAnyOrder(10L, 11L);
  }

  @Test
  void ignoresRowsOfOtherWriters() {
    table.create(new TableRow("other", new byte[] {1, 2, 3})).block();

    assertThat(find(newArchive("next"), 1)).isEmpty();
  }

  private StreamOriginArchive newArchive(String box) {
    EmbeddedChannel channel = new EmbeddedChannel();
    channel.freezeTime();
    loops.add(channel);
    return new StreamOriginArchive(
        box,
        table,
        channel.eventLoop(),
        () -> TimeUnit.MILLISECONDS.toNanos(nowMillis),
        new RecordedEventLog().eventLog());
  }

  private static OriginRecord record(long streamKey, long originHash) {
    return new OriginRecord(streamKey, originHash, RETENTION_MILLIS);
  }

  private Set<Long> find(StreamOriginArchive archive, long streamKey) {
    archive.find(streamKey, found::add);
    loops.forEach(EmbeddedChannel::runPendingTasks);
    return found.remove(0);
  }

  private void advance(long millis) {
    nowMillis += millis;
    loops.forEach(channel -> channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS));
    loops.forEach(EmbeddedChannel::runPendingTasks);
    // Runs also what the scheduled tasks have submitted.
    loops.forEach(EmbeddedChannel::runPendingTasks);
  }
}
