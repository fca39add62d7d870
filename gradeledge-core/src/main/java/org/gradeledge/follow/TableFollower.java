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

  private static final long FIRST_BACKOFF_MILLIS = 120;

  /**
   * A call that has waited for so long while the table is away will not be answered: 10 times the
   * usual.
   */
  private static final long HUNG_MILLIS = 50;

  private final String name;
  private final RevisionedTable table;
  private final TableListener listener;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EventLog events;
  private final FollowPace pace;
  private long revision = -1;
  private long era = -1;
  private long backoffMillis = FIRST_BACKOFF_MILLIS;

  /** The next call, null while one is under way. */
  private @Nullable ScheduledFuture<?> pausing;

  private long calls;
  private long calledNanos;
  private boolean lost;
  private boolean away;

  /** Creates a follower that does nothing yet. */
  public TableFollower(
      String name,
      RevisionedTable table,
      TableListener listener,
      EventLoop loop,
      MonotonicClock clock,
      EventLog events,
      FollowPace pace) {
    this.name = name;
    this.table = table;
    this.listener = listener;
    this.loop = loop;
    this.clock = clock;
    this.events = events;
    this.pace = pace;
  }

  /** Starts to follow. */
  public void start() {
    next();
  }

  /**
   * Ends a pause between calls, as there is something new to be read. Whoever tells of it has read
   * the table, so that one that was away may be back: a call that still waits for it is given up.
   */
  public void lookNow() {
    if (pausing != null && pausing.cancel(false)) {
      next();
    } else if (pausing == null && lost && callMillis() > HUNG_MILLIS) {
      next();
    }
  }

  /**
   * Calls anew after the machine was suspended: what is known is older than it seems, the timer of
   * a call that is under way counts none of that time, and its connection may be gone.
   */
  public void wokeUp() {
    if (calls == 0) {
      return;
    }
    if (pausing != null) {
      pausing.cancel(false);
    }
    next();
  }

  private long callMillis() {
    return (clock.nanos() - calledNanos) / 1_000_000;
  }

  private void next() {
    pausing = null;
    if (revision < 0) {
      subscribe(table.read(), this::take);
    } else {
      subscribe(table.changes(revision, waitNow()), this::take);
    }
  }

  /**
   * A call that is sent while the table is away may never be answered, also once it is back; so
   * none waits for a change until one has been answered.
   */
  private Duration waitNow() {
    return lost ? Duration.ZERO : pace.longestWait().get();
  }

  private <T> void subscribe(Mono<T> call, Consumer<T> taker) {
    long number = ++calls;
    calledNanos = clock.nanos();
    call.switchIfEmpty(Mono.error(() -> new IOException("no answer")))
        .subscribe(
            answer -> loop.execute(() -> ended(number, () -> answered(answer, taker))),
            failure -> loop.execute(() -> ended(number, () -> failed(failure))));
  }

  /** Only the newest call counts; what comes of one that was given up is passed over. */
  private void ended(long number, Runnable outcome) {
    if (number == calls) {
      outcome.run();
    }
  }

  private <T> void answered(T answer, Consumer<T> taker) {
    backoffMillis = FIRST_BACKOFF_MILLIS;
    if (lost) {
      regained();
    }
    takeSafely(answer, taker);
    pausing = loop.schedule(this::next, pace.pause().get().toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Whatever goes wrong with an answer, the table is followed on: from a whole reading. */
  private <T> void takeSafely(T answer, Consumer<T> taker) {
    try {
      taker.accept(answer);
      listener.onAnswered();
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

  private void regained() {
    lost = false;
    events.change("dependency-regained").with("dependency", name).write();
    if (away) {
      away = false;
      listener.onBack();
    }
  }

  private void take(TableContent content) {
    revision = content.revision();
    noteEra(TableRevision.era(revision));
    listener.onContent(content);
  }

  private void noteEra(long eraNow) {
    long before = era;
    era = eraNow;
    if (before >= 0 && before < eraNow) {
      events
          .change("table-older-copy")
          .with("dependency", name)
          .with("era", eraNow)
          .with("before", before)
          .with("version", TableRevision.version(revision))
          .write();
      listener.onOlderCopy();
    }
  }

  private void take(TableChanges changes) {
    revision = Math.max(revision, changes.revision());
    if (!changes.put().isEmpty() || !changes.removed().isEmpty()) {
      listener.onChanges(changes);
    }
  }

  private void failed(Throwable failure) {
    if (failure instanceof HistoryLostException) {
      revision = -1;
    }
    if (!lost) {
      lost = true;
      events
          .change("dependency-lost")
          .with("dependency", name)
          .with("why", String.valueOf(failure))
          .with("revision", revision)
          .write();
    }
    if (!away && !(failure instanceof HistoryLostException)) {
      away = true;
      listener.onAway();
    }
    long jitter = ThreadLocalRandom.current().nextLong(backoffMillis);
    pausing = loop.schedule(this::next, backoffMillis / 2 + jitter, TimeUnit.MILLISECONDS);
    backoffMillis = Math.min(pace.longestBackoff().get().toMillis(), backoffMillis * 2);
  }
}
