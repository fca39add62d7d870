package org.gradeledge.follow;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.gradeledge.event.EventLog;
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
  private static final long LONGEST_BACKOFF_MILLIS = 600;
  private static final int FAILURES_OF_AN_OUTAGE = 3;

  private final String name;
  private final RevisionedTable table;
  private final TableListener listener;
  private final EventLoop loop;
  private final EventLog events;
  private final Supplier<Duration> wait;
  private final Supplier<Duration> pause;
  private long revision = -1;
  private long backoffMillis = FIRST_BACKOFF_MILLIS;
  private @Nullable ScheduledFuture<?> pausing;
  private boolean lost;
  private int failuresInARow;

  /**
   * Creates a follower that does nothing yet.
   *
   * @param wait how long a call may wait for a change
   * @param pause shortest time between calls
   */
  public TableFollower(
      String name,
      RevisionedTable table,
      TableListener listener,
      EventLoop loop,
      EventLog events,
      Supplier<Duration> wait,
      Supplier<Duration> pause) {
    this.name = name;
    this.table = table;
    this.listener = listener;
    this.loop = loop;
    this.events = events;
    this.wait = wait;
    this.pause = pause;
  }

  /** Starts to follow. */
  public void start() {
    next();
  }

  /** Ends a pause between calls, as there is something new to be read. */
  public void lookNow() {
    if (!lost && pausing != null && pausing.cancel(false)) {
      next();
    }
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
    return lost ? Duration.ZERO : wait.get();
  }

  private <T> void subscribe(Mono<T> call, Consumer<T> taker) {
    call.switchIfEmpty(Mono.error(() -> new IOException("no answer")))
        .subscribe(
            answer -> loop.execute(() -> answered(answer, taker)),
            failure -> loop.execute(() -> failed(failure)));
  }

  private <T> void answered(T answer, Consumer<T> taker) {
    backoffMillis = FIRST_BACKOFF_MILLIS;
    if (lost) {
      regained();
    }
    taker.accept(answer);
    pausing = loop.schedule(this::next, pause.get().toMillis(), TimeUnit.MILLISECONDS);
  }

  private void regained() {
    lost = false;
    events.change("dependency-regained").with("dependency", name).write();
    if (failuresInARow >= FAILURES_OF_AN_OUTAGE) {
      listener.onBack();
    }
    failuresInARow = 0;
  }

  private void take(TableContent content) {
    revision = content.revision();
    listener.onContent(content);
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
    failuresInARow++;
    if (failuresInARow == FAILURES_OF_AN_OUTAGE) {
      listener.onAway();
    }
    long jitter = ThreadLocalRandom.current().nextLong(backoffMillis);
    loop.schedule(this::next, backoffMillis / 2 + jitter, TimeUnit.MILLISECONDS);
    backoffMillis = Math.min(LONGEST_BACKOFF_MILLIS, backoffMillis * 2);
  }
}
