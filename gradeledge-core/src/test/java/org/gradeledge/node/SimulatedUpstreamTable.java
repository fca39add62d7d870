package org.gradeledge.node;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.follow.HistoryLostException;
import org.gradeledge.follow.RevisionedTable;
import org.gradeledge.follow.TableChanges;
import org.gradeledge.follow.TableContent;
import org.gradeledge.follow.TableRevision;
import org.gradeledge.follow.TableRow;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Table of upstreams on an event loop with virtual time. Calls made during an outage time out, even
 * if the table is available again before.
 */
final class SimulatedUpstreamTable implements RevisionedTable {

  private static final long ANSWER_MILLIS = 5;

  private static final long CALL_TIMEOUT_MILLIS = 600;

  private record Change(long revision, String id, boolean removed) {}

  private final EventLoop loop;
  private final Map<String, Boolean> present = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private long revision;
  private boolean unavailable;
  private long epoch;
  private int callCount;

  SimulatedUpstreamTable(EventLoop loop) {
    this.loop = loop;
  }

  /** Reads a row of this table; values that start with a question mark are unreadable. */
  static Either<String, UpstreamRecord> readRow(TableRow row) {
    String text = new String(row.value(), StandardCharsets.UTF_8);
    return text.startsWith("?")
        ? Either.left("not a row of an upstream")
        : Either.right(new UpstreamRecord(row.key(), "service", "10.0.0.1", 1, "zone", 1, false));
  }

  void add(String id) {
    present.put(id, true);
    history.add(new Change(++revision, id, false));
  }

  void remove(String id) {
    present.remove(id);
    history.add(new Change(++revision, id, true));
  }

  /** Replaces the content with a restored backup; versions continue from the given one. */
  void restoreBackup(long version, String... ids) {
    present.clear();
    history.clear();
    epoch++;
    revision = version;
    Stream.of(ids).forEach(id -> present.put(id, true));
  }

  /** Schedules an outage; times are in milliseconds from now. */
  void scheduleOutage(long from, long until) {
    loop.schedule(() -> unavailable = true, from, TimeUnit.MILLISECONDS);
    loop.schedule(() -> unavailable = false, until, TimeUnit.MILLISECONDS);
  }

  /** Returns the number of calls. */
  int callCount() {
    return callCount;
  }

  @Override
  public Mono<TableContent> read() {
    return answer(
        () ->
            new TableContent(
                TableRevision.of(epoch, revision),
                present.keySet().stream().map(this::row).toList()));
  }

  @Override
  public Mono<TableChanges> changes(long afterRevision, Duration wait) {
    return answer(() -> changesAfter(afterRevision));
  }

  private TableChanges changesAfter(long afterRevision) {
    if (TableRevision.epoch(afterRevision) != epoch) {
      throw new HistoryLostException("another epoch");
    }
    long afterVersion = TableRevision.version(afterRevision);
    Map<String, Boolean> removedById = new TreeMap<>();
    history.stream()
        .filter(change -> change.revision() > afterVersion)
        .forEach(change -> removedById.put(change.id(), change.removed()));
    return new TableChanges(
        TableRevision.of(epoch, revision),
        removedById.keySet().stream().filter(id -> !removedById.get(id)).map(this::row).toList(),
        removedById.keySet().stream().filter(removedById::get).toList());
  }

  private TableRow row(String id) {
    return new TableRow(id, id.getBytes(StandardCharsets.UTF_8));
  }

  private <T> Mono<T> answer(Supplier<T> content) {
    callCount++;
    return Mono.create(sink -> scheduleAnswer(sink, content));
  }

  private <T> void scheduleAnswer(MonoSink<T> sink, Supplier<T> content) {
    if (unavailable) {
      loop.schedule(
          () -> sink.error(new IOException("no answer")),
          CALL_TIMEOUT_MILLIS,
          TimeUnit.MILLISECONDS);
    } else {
      loop.schedule(() -> succeed(sink, content), ANSWER_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private static <T> void succeed(MonoSink<T> sink, Supplier<T> content) {
    try {
      sink.success(content.get());
    } catch (HistoryLostException lost) {
      sink.error(lost);
    }
  }
}
