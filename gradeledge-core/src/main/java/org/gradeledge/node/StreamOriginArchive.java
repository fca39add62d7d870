package org.gradeledge.node;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gradeledge.event.EventLog;
import org.gradeledge.follow.HistoryLostException;
import org.gradeledge.follow.TableChanges;
import org.gradeledge.follow.TableContent;
import org.gradeledge.follow.TableRow;
import org.gradeledge.follow.WritableTable;
import org.gradeledge.resumption.OriginArchive;
import org.gradeledge.resumption.OriginRecord;
import org.gradeledge.resumption.StreamOrigins;
import org.gradeledge.time.MonotonicClock;
import reactor.core.publisher.Mono;

/**
 * Archives origins of streams in a table of the platform, in batches, and reads them only if a
 * stream is asked for that no box knows. A row is never changed, so whatever is lost, written late
 * or restored from a backup, each record that is read is true. Confined to the event loop.
 */
final class StreamOriginArchive implements OriginArchive {

  private static final Duration WRITE_INTERVAL = Duration.ofMillis(400);
  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);
  private static final Duration MAX_SNAPSHOT_AGE = Duration.ofSeconds(1);
  private static final Duration CLEANUP_INTERVAL = Duration.ofSeconds(10);

  /** Keeps the encoded value of a row below 64 KB. */
  private static final int MAX_RECORDS_PER_ROW = 2_000;

  private static final int MAX_ROWS_PER_WRITE = 20;
  private static final int MAX_PENDING_RECORDS = MAX_RECORDS_PER_ROW * MAX_ROWS_PER_WRITE;
  private static final int MAX_REMOVALS_PER_WRITE = 80;

  /** About 45 MB, needed only if very many streams broke off at once. */
  private static final int MAX_READ_RECORDS = 262_144;

  private final String box;
  private final WritableTable table;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EventLog events;
  private final StreamOrigins read;
  private final Map<String, Long> expiryNanosByRow = new HashMap<>();

  /** Distinguishes the rows of this process from those of an earlier one of the box. */
  private final long processId = ThreadLocalRandom.current().nextLong();

  private final List<Runnable> waiting = new ArrayList<>();
  private List<OriginRecord> pending = new ArrayList<>();
  private boolean writeScheduled;
  private boolean cleanupScheduled;
  private boolean reading;
  private long revision = -1;
  private long readNanos;
  private long rowNumber;

  /**
   * Creates the archive.
   *
   * @param box name of this box, part of the keys of its rows
   */
  StreamOriginArchive(
      String box, WritableTable table, EventLoop loop, MonotonicClock clock, EventLog events) {
    this.box = box;
    this.table = table;
    this.loop = loop;
    this.clock = clock;
    this.events = events;
    this.read = new StreamOrigins(clock, MAX_READ_RECORDS);
  }

  @Override
  public void add(List<OriginRecord> records) {
    int accepted = Math.min(records.size(), MAX_PENDING_RECORDS - pending.size());
    pending.addAll(records.subList(0, accepted));
    if (accepted < records.size()) {
      logProblem("origins-not-archived", "too many", records.size() - accepted);
    }
    if (revision < 0) {
      readThen(() -> {});
    }
    scheduleWrite(WRITE_INTERVAL);
  }

  private void scheduleWrite(Duration delay) {
    if (!writeScheduled) {
      writeScheduled = true;
      loop.schedule(this::write, delay.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  /** Writes the pending records and removes rows that have expired. */
  private void write() {
    List<OriginRecord> records = pending;
    pending = new ArrayList<>();
    List<String> expired = expiredRows();
    List<TableRow> rows = encode(records);
    if (rows.isEmpty() && expired.isEmpty()) {
      onWritten(expired);
      return;
    }
    table
        .update(rows, expired)
        .subscribe(
            nothing -> {},
            failure -> loop.execute(() -> onWriteFailed(records, failure)),
            () -> loop.execute(() -> onWritten(expired)));
  }

  private List<String> expiredRows() {
    long now = clock.nanos();
    return expiryNanosByRow.entrySet().stream()
        .filter(row -> row.getValue() - now < 0)
        .limit(MAX_REMOVALS_PER_WRITE)
        .map(Map.Entry::getKey)
        .toList();
  }

  private List<TableRow> encode(List<OriginRecord> records) {
    List<TableRow> rows = new ArrayList<>();
    for (int from = 0; from < records.size(); from += MAX_RECORDS_PER_ROW) {
      int to = Math.min(records.size(), from + MAX_RECORDS_PER_ROW);
      String key = box + '-' + Long.toHexString(processId) + '-' + rowNumber++;
      OriginRow row = new OriginRow(key, records.subList(from, to));
      recordExpiry(row);
      rows.add(row.encode());
    }
    return rows;
  }

  private void onWritten(List<String> removed) {
    writeScheduled = false;
    removed.forEach(expiryNanosByRow::remove);
    if (!pending.isEmpty()) {
      scheduleWrite(WRITE_INTERVAL);
    } else {
      scheduleCleanup();
    }
  }

  /** Makes sure that rows are removed where no further records are written. */
  private void scheduleCleanup() {
    if (!cleanupScheduled && !expiryNanosByRow.isEmpty()) {
      cleanupScheduled = true;
      loop.schedule(this::cleanUp, CLEANUP_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void cleanUp() {
    cleanupScheduled = false;
    scheduleWrite(Duration.ZERO);
  }

  private void onWriteFailed(List<OriginRecord> records, Throwable failure) {
    writeScheduled = false;
    logProblem("origins-not-archived", String.valueOf(failure), records.size());
    if (pending.size() + records.size() <= MAX_PENDING_RECORDS) {
      pending.addAll(records);
    }
    scheduleWrite(RETRY_INTERVAL);
  }

  @Override
  public void find(long streamKey, Consumer<Set<Long>> listener) {
    Set<Long> known = read.find(streamKey);
    boolean recent = revision >= 0 && clock.nanos() - readNanos < MAX_SNAPSHOT_AGE.toNanos();
    if (!known.isEmpty() || recent) {
      listener.accept(known);
    } else {
      readThen(() -> listener.accept(read.find(streamKey)));
    }
  }

  /** Reads the table, or its changes, and then runs an action; also if the table is unavailable. */
  private void readThen(Runnable action) {
    waiting.add(action);
    if (reading) {
      return;
    }
    reading = true;
    Mono<Runnable> call =
        revision < 0
            ? table.read().map(content -> () -> apply(content))
            : table.changes(revision, Duration.ZERO).map(changes -> () -> apply(changes));
    call.subscribe(
        answer -> loop.execute(() -> onRead(answer)),
        failure -> loop.execute(() -> onReadFailed(failure)));
  }

  private void onRead(Runnable answer) {
    readNanos = clock.nanos();
    answer.run();
    finishRead();
  }

  private void onReadFailed(Throwable failure) {
    if (failure instanceof HistoryLostException && revision >= 0) {
      revision = -1;
      reading = false;
      readThen(() -> {});
      return;
    }
    logProblem("origins-not-read", String.valueOf(failure), waiting.size());
    finishRead();
  }

  private void finishRead() {
    reading = false;
    List<Runnable> actions = List.copyOf(waiting);
    waiting.clear();
    actions.forEach(Runnable::run);
  }

  private void apply(TableContent content) {
    revision = content.revision();
    content.rows().forEach(this::apply);
    events
        .change("origins-read")
        .with("rows", content.rows().size())
        .with("streams", read.size())
        .write();
  }

  private void apply(TableChanges changes) {
    revision = Math.max(revision, changes.revision());
    changes.put().forEach(this::apply);
    changes.removed().forEach(expiryNanosByRow::remove);
  }

  private void apply(TableRow encoded) {
    OriginRow row = OriginRow.decode(encoded);
    recordExpiry(row);
    row.records().forEach(read::add);
  }

  /** Rows of other boxes are kept for their whole retention from now on, as clocks may differ. */
  private void recordExpiry(OriginRow row) {
    expiryNanosByRow.putIfAbsent(row.key(), clock.nanos() + row.retention().toNanos());
  }

  private void logProblem(String event, String reason, int count) {
    events.problem(event).with("why", reason).with("count", count).write();
  }
}
