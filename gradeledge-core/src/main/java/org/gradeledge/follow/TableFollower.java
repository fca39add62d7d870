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
 * Follows a table for good: reads it once, then its changes, and reads it anew where the history
 * was lost. A call that fails is repeated soon, with jitter so that boxes do not come all at once.
 *
 * <p>Confined to the event loop.
 *
 * @since 0.2
 */
public final class TableFollower {

  private static final long INITIAL_BACKOFF_MILLIS = 120;

  /**
   * A call that has waited for so long while the table is away will not be answered: 10 times the
   * usual.
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

  /** The next call, null while one is under way. */
  private @Nullable ScheduledFuture<?> scheduledCall;

  private long lastCallNumber;
  private long callStartNanos;
  private boolean lastCallFailed;
  private boolean reportedUnavailable;

  /** Creates a follower that does nothing yet. */
  public TableFollower(
      String name,
      RevisionedTable table,
      TableListener listener,
      EventLoop loop,
      MonotonicClock clock,
      EventLog events,
      PollingIntervals pace) {
    this.name = name;
    this.table = table;
    this.listener = listener;
    this.loop = loop;
    this.clock = clock;
    this.events = events;
    this.intervals = pace;
  }

  /** Starts to follow. */
  public void start() {
    startCall();
  }

  /**
   * Ends a pause between calls, as there is something new to be read. Whoever tells of it has read
   * the table, so that one that was away may be back: a call that still waits for it is given up.
   */
  public void pollNow() {
    if (scheduledCall != null && scheduledCall.cancel(false)) {
      startCall();
    } else if (scheduledCall == null && lastCallFailed && elapsedCallMillis() > STALE_CALL_MILLIS) {
      startCall();
    }
  }

  /**
   * Calls anew after the machine was suspended: what is known is older than it seems, the timer of
   * a call that is under way counts none of that time, and its connection may be gone.
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
   * A call that is sent while the table is away may never be answered, also once it is back; so
   * none waits for a change until one has been answered.
   */
  private Duration currentMaxWait() {
    return lastCallFailed ? Duration.ZERO : intervals.maxWait().get();
  }

  private <T> void subscribe(Mono<T> call, Consumer<T> taker) {
    long number = ++lastCallNumber;
    callStartNanos = clock.nanos();
    call.switchIfEmpty(Mono.error(() -> new IOException("no answer")))
        .subscribe(
            answer -> loop.execute(() -> runIfLatest(number, () -> onAnswer(answer, taker))),
            failure -> loop.execute(() -> runIfLatest(number, () -> onFailure(failure))));
  }

  /** Only the newest call counts; what comes of one that was given up is passed over. */
  private void runIfLatest(long number, Runnable outcome) {
    if (number == lastCallNumber) {
      outcome.run();
    }
  }

  private <T> void onAnswer(T answer, Consumer<T> taker) {
    backoffMillis = INITIAL_BACKOFF_MILLIS;
    if (lastCallFailed) {
      onRecovery();
    }
    applySafely(answer, taker);
    scheduledCall =
        loop.schedule(this::startCall, intervals.delay().get().toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Whatever goes wrong with an answer, the table is followed on: from a whole reading. */
  private <T> void applySafely(T answer, Consumer<T> taker) {
    try {
      taker.accept(answer);
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

  private void updateEpoch(long eraNow) {
    long before = epoch;
    epoch = eraNow;
    if (before >= 0 && before < eraNow) {
      events
          .change("table-older-copy")
          .with("dependency", name)
          .with("era", eraNow)
          .with("before", before)
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
    long jitter = ThreadLocalRandom.current().nextLong(backoffMillis);
    scheduledCall =
        loop.schedule(this::startCall, backoffMillis / 2 + jitter, TimeUnit.MILLISECONDS);
    backoffMillis = Math.min(intervals.maxBackoff().get().toMillis(), backoffMillis * 2);
  }
}
