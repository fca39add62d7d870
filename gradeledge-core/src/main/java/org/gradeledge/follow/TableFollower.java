package org.gradeledge.follow;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gradeledge.event.EventLog;
import org.gradeledge.time.MonotonicClock;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;

/**
 * Follows the changes of a table: reads the whole table once, then its changes, and reads the whole
 * table again if its history is lost. Failed calls are retried with backoff and jitter.
 *
 * <p>Confined to the event loop.
 *
 * @since 0.2
 */
public final class TableFollower {

  private static final long INITIAL_BACKOFF_MILLIS = 120;

  /** Spreads the reads of many boxes that lose their history together. */
  private static final long MAX_REREAD_DELAY_MILLIS = 40;

  /**
   * A call that has taken longer while the table is unavailable is assumed to be lost; ten times
   * the usual duration.
   */
  private static final long STALE_CALL_MILLIS = 50;

  private final String name;
  private final RevisionedTable table;
  private final TableListener listener;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EventLog events;
  private final PollingIntervals intervals;
  private long revision = -1;
  private long epoch = -1;
  private long backoffMillis = INITIAL_BACKOFF_MILLIS;

  /** The next call; null while a call is in flight. */
  private @Nullable ScheduledFuture<?> scheduledCall;

  private long lastCallNumber;
  private long callStartNanos;
  private boolean lastCallFailed;
  private boolean historyLost;
  private boolean reportedUnavailable;

  /** Creates a follower, which calls the table only once it is started. */
  public TableFollower(
      String name,
      RevisionedTable table,
      TableListener listener,
      EventLoop loop,
      MonotonicClock clock,
      EventLog events,
      PollingIntervals intervals) {
    this.name = name;
    this.table = table;
    this.listener = listener;
    this.loop = loop;
    this.clock = clock;
    this.events = events;
    this.intervals = intervals;
  }

  /** Starts to follow the table. */
  public void start() {
    startCall();
  }

  /**
   * Calls the table at once, because a new revision is expected. As the table may be available
   * again, a call that is assumed to be lost is replaced.
   */
  public void pollNow() {
    if (scheduledCall != null && scheduledCall.cancel(false)) {
      startCall();
    } else if (scheduledCall == null && lastCallFailed && elapsedCallMillis() > STALE_CALL_MILLIS) {
      startCall();
    }
  }

  /**
   * Calls the table at once after the machine was suspended. A call in flight is replaced: its
   * timer did not run during the suspension, and its connection may be lost.
   */
  public void onMachineResume() {
    if (lastCallNumber == 0) {
      return;
    }
    if (scheduledCall != null) {
      scheduledCall.cancel(false);
    }
    startCall();
  }

  private long elapsedCallMillis() {
    return (clock.nanos() - callStartNanos) / 1_000_000;
  }

  private void startCall() {
    scheduledCall = null;
    if (revision < 0) {
      subscribe(table.read(), this::apply);
    } else {
      subscribe(table.changes(revision, currentMaxWait()), this::apply);
    }
  }

  /**
   * Calls do not wait for a change while the table is unavailable, as a call sent then may never be
   * answered, even if the table is available again.
   */
  private Duration currentMaxWait() {
    return lastCallFailed ? Duration.ZERO : intervals.maxWait().get();
  }

  private <T> void subscribe(Mono<T> call, Consumer<T> consumer) {
    long number = ++lastCallNumber;
    callStartNanos = clock.nanos();
    call.switchIfEmpty(Mono.error(() -> new IOException("no answer")))
        .subscribe(
            answer -> loop.execute(() -> runIfLatest(number, () -> onAnswer(answer, consumer))),
            failure -> loop.execute(() -> runIfLatest(number, () -> onFailure(failure))));
  }

  /** Ignores the results of calls that were replaced by a newer one. */
  private void runIfLatest(long number, Runnable handler) {
    if (number == lastCallNumber) {
      handler.run();
    }
  }

  private <T> void onAnswer(T answer, Consumer<T> consumer) {
    backoffMillis = INITIAL_BACKOFF_MILLIS;
    historyLost = false;
    if (lastCallFailed) {
      onRecovery();
    }
    applySafely(answer, consumer);
    scheduledCall =
        loop.schedule(this::startCall, intervals.delay().get().toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Reads the whole table again if the listener fails on an answer. */
  private <T> void applySafely(T answer, Consumer<T> consumer) {
    try {
      consumer.accept(answer);
      listener.onAnswerApplied();
    } catch (RuntimeException failure) {
      events
          .problem("table-answer-not-taken")
          .with("dependency", name)
          .with("why", String.valueOf(failure))
          .with("revision", revision)
          .write();
      revision = -1;
    }
  }

  private void onRecovery() {
    lastCallFailed = false;
    events.change("dependency-regained").with("dependency", name).write();
    if (reportedUnavailable) {
      reportedUnavailable = false;
      listener.onAvailableAgain();
    }
  }

  private void apply(TableContent content) {
    revision = content.revision();
    updateEpoch(TableRevision.epoch(revision));
    listener.onContent(content);
  }

  private void updateEpoch(long newEpoch) {
    long previousEpoch = epoch;
    epoch = newEpoch;
    if (previousEpoch >= 0 && previousEpoch < newEpoch) {
      events
          .change("table-older-copy")
          .with("dependency", name)
          .with("era", newEpoch)
          .with("before", previousEpoch)
          .with("version", TableRevision.version(revision))
          .write();
      listener.onBackupRestored();
    }
  }

  private void apply(TableChanges changes) {
    revision = Math.max(revision, changes.revision());
    if (!changes.put().isEmpty() || !changes.removed().isEmpty()) {
      listener.onChanges(changes);
    }
  }

  private void onFailure(Throwable failure) {
    if (failure instanceof HistoryLostException) {
      revision = -1;
    }
    if (!lastCallFailed) {
      lastCallFailed = true;
      events
          .change("dependency-lost")
          .with("dependency", name)
          .with("why", String.valueOf(failure))
          .with("revision", revision)
          .write();
    }
    if (!reportedUnavailable && !(failure instanceof HistoryLostException)) {
      reportedUnavailable = true;
      listener.onUnavailable();
    }
    scheduledCall = loop.schedule(this::startCall, delayAfter(failure), TimeUnit.MILLISECONDS);
  }

  /** A table that has answered that its history is lost can be read at once, but not repeatedly. */
  private long delayAfter(Throwable failure) {
    boolean firstLoss = failure instanceof HistoryLostException && !historyLost;
    historyLost = failure instanceof HistoryLostException;
    if (firstLoss) {
      return ThreadLocalRandom.current().nextLong(MAX_REREAD_DELAY_MILLIS);
    }
    long jitter = ThreadLocalRandom.current().nextLong(backoffMillis);
    long delay = backoffMillis / 2 + jitter;
    backoffMillis = Math.min(intervals.maxBackoff().get().toMillis(), backoffMillis * 2);
    return delay;
  }
}
