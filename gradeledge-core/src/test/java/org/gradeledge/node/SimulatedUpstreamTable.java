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
 * A list of upstreams on an event loop of virtual time. A call that comes while it is away is never
 * answered and fails at its limit, also where the list is back before.
 */
final class SimulatedUpstreamTable implements RevisionedTable {

  /** As an answer takes where nothing is wrong. */
  private static final long ANSWER_MILLIS = 5;

  /** A connection that cannot be opened fails by then. */
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

  /** Reads rows as this list writes them; what starts with a question mark cannot be read. */
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

  /** Comes back as a copy with these entries; versions are given out again from a lower one. */
  void restoreBackup(long version, String... ids) {
    present.clear();
    history.clear();
    epoch++;
    revision = version;
    Stream.of(ids).forEach(id -> present.put(id, true));
  }

  /** Sets from when until when, in milliseconds from now, calls get no answer. */
  void scheduleOutage(long from, long until) {
    loop.schedule(() -> unavailable = true, from, TimeUnit.MILLISECONDS);
    loop.schedule(() -> unavailable = false, until, TimeUnit.MILLISECONDS);
  }

  /** Returns how often it was called. */
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

  private TableChanges changesAfter(long after) {
    if (TableRevision.epoch(after) != epoch) {
      throw new HistoryLostException("another era");
    }
    long afterRevision = TableRevision.version(after);
    Map<String, Boolean> last = new TreeMap<>();
    history.stream()
        .filter(change -> change.revision() > afterRevision)
        .forEach(change -> last.put(change.id(), change.removed()));
    return new TableChanges(
        TableRevision.of(epoch, revision),
        last.keySet().stream().filter(id -> !last.get(id)).map(this::row).toList(),
        last.keySet().stream().filter(last::get).toList());
  }

  private TableRow row(String id) {
    return new TableRow(id, id.getBytes(StandardCharsets.UTF_8));
  }

  private <T> Mono<T> answer(Supplier<T> now) {
    callCount++;
    return Mono.create(sink -> scheduleAnswer(sink, now));
  }

  private <T> void scheduleAnswer(MonoSink<T> sink, Supplier<T> now) {
    if (unavailable) {
      loop.schedule(
          () -> sink.error(new IOException("no answer")),
          CALL_TIMEOUT_MILLIS,
          TimeUnit.MILLISECONDS);
    } else {
      loop.schedule(() -> succeed(sink, now), ANSWER_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private static <T> void succeed(MonoSink<T> sink, Supplier<T> now) {
    try {
      sink.success(now.get());
    } catch (HistoryLostException lost) {
      sink.error(lost);
    }
  }
}
