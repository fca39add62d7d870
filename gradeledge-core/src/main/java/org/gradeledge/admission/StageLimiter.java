package org.gradeledge.admission;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.gradeledge.configuration.AccountDefinition;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;
import org.jspecify.annotations.Nullable;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Schedulers;

/**
 * Limits how many calls of one stage this box has in progress, and decides who goes next.
 *
 * <p>Waiting calls start by weighted fair queueing over the accounts. An account's share grows with
 * its weight and its priority; one account's flood waits behind itself, whatever its priority. A
 * call that can no longer meet its deadline is refused at once, queued or not. Thread-safe.
 *
 * @since 0.1
 */
public final class StageLimiter {

  private static final Comparator<QueuedTicket> ORDER =
      Comparator.comparingDouble(QueuedTicket::fairFinish)
          .thenComparingLong(QueuedTicket::sequence);

  private final String stage;
  private final StageTimes times;
  private final Map<String, Double> finishOfAccount = new HashMap<>();
  private final TreeSet<QueuedTicket> queue = new TreeSet<>(ORDER);
  private final AdaptiveLimit limit;
  private int running;
  private double virtualTime;
  private long sequence;

  /** Creates a limiter for a stage; {@code times} tells how long its calls take. */
  public StageLimiter(String stage, int limit, StageTimes times) {
    this.stage = stage;
    this.limit = new AdaptiveLimit(limit);
    this.times = times;
  }

  /** Sets how many calls may be in progress at most. */
  public synchronized void setLimit(int value) {
    limit.setMost(value);
  }

  /** Takes in the time of a completed call. */
  public void completed(long nanos) {
    times.record(nanos);
    synchronized (this) {
      limit.record(nanos);
    }
    startNext();
  }

  /** Returns how long a call of an account would wait, were it to come now. */
  public synchronized Duration expectedWait(AccountDefinition account) {
    double finish = fairFinish(account);
    long ahead = queue.stream().takeWhile(waiting -> waiting.fairFinish() <= finish).count();
    return waitBehind(ahead);
  }

  /** Returns how many calls wait. */
  public synchronized int queued() {
    return queue.size();
  }

  /**
   * Waits for a permit. The value is to be run exactly once, when the call has ended; cancelling
   * gives the place up. Fails with {@link RefusalException} "not run" where the deadline cannot be
   * met.
   */
  public Mono<Runnable> acquire(StageTicket ticket) {
    return Mono.defer(
        () -> {
          AtomicReference<@Nullable QueuedTicket> mine = new AtomicReference<>();
          return Mono.<Runnable>create(
                  sink -> {
                    QueuedTicket queued = newTicket(ticket, sink);
                    mine.set(queued);
                    enter(queued);
                  })
              .doOnCancel(() -> abandon(mine.get()));
        });
  }

  private synchronized QueuedTicket newTicket(StageTicket ticket, MonoSink<Runnable> sink) {
    double finish = fairFinish(ticket.account());
    AtomicBoolean granted = new AtomicBoolean();
    return new QueuedTicket(ticket, finish, sequence++, sink, granted, () -> giveBack(granted));
  }

  private void enter(QueuedTicket queued) {
    if (!enqueue(queued)) {
      queued.refuse(unreachable(queued.ticket()));
      return;
    }
    startNext();
    if (isWaiting(queued)) {
      refuseWhenTooLate(queued);
    }
  }

  private synchronized boolean enqueue(QueuedTicket queued) {
    StageTicket ticket = queued.ticket();
    if (!ticket.reachable() || expectedWait(ticket.account()).compareTo(ticket.slack()) > 0) {
      return false;
    }
    finishOfAccount.put(ticket.account().name(), queued.fairFinish());
    return queue.add(queued);
  }

  private void refuseWhenTooLate(QueuedTicket queued) {
    Disposable timer =
        Schedulers.parallel()
            .schedule(
                () -> expire(queued), queued.ticket().slack().toMillis(), TimeUnit.MILLISECONDS);
    queued.sink().onDispose(timer);
  }

  /** A permit that was granted while its taker gave up must not be lost. */
  private void abandon(@Nullable QueuedTicket queued) {
    if (queued != null && !leave(queued)) {
      queued.release().run();
    }
  }

  private void startNext() {
    Optional<QueuedTicket> next = takeNext();
    while (next.isPresent()) {
      QueuedTicket queued = next.get();
      if (queued.ticket().reachable()) {
        queued.grant();
      } else {
        free(queued.granted());
        queued.refuse(unreachable(queued.ticket()));
      }
      next = takeNext();
    }
  }

  private synchronized Optional<QueuedTicket> takeNext() {
    if (running >= limit.current() || queue.isEmpty()) {
      return Optional.empty();
    }
    QueuedTicket next = queue.pollFirst();
    running++;
    next.granted().set(true);
    virtualTime = Math.max(virtualTime, next.fairFinish() - cost(next.ticket().account()));
    forgetIdleAccounts();
    return Optional.of(next);
  }

  private void forgetIdleAccounts() {
    if (queue.isEmpty()) {
      finishOfAccount.clear();
      virtualTime = 0;
    }
  }

  private void giveBack(AtomicBoolean granted) {
    if (free(granted)) {
      startNext();
    }
  }

  /** Frees a permit without starting anybody; returns whether one was held. */
  private synchronized boolean free(AtomicBoolean granted) {
    boolean held = granted.compareAndSet(true, false);
    if (held) {
      running--;
    }
    return held;
  }

  private synchronized boolean isWaiting(QueuedTicket queued) {
    return queue.contains(queued);
  }

  private synchronized boolean leave(QueuedTicket queued) {
    return queue.remove(queued);
  }

  private void expire(QueuedTicket queued) {
    if (leave(queued)) {
      queued.refuse(unreachable(queued.ticket()));
    }
  }

  private double fairFinish(AccountDefinition account) {
    double start = Math.max(virtualTime, finishOfAccount.getOrDefault(account.name(), 0.0));
    return start + cost(account);
  }

  /** What one call takes of its account's share, which grows with weight and priority. */
  private static double cost(AccountDefinition account) {
    return 1.0 / (account.weight() * (1.0 + account.priority()));
  }

  private Duration waitBehind(long ahead) {
    return running < limit.current()
        ? Duration.ZERO
        : times.typical().multipliedBy(ahead + 1).dividedBy(limit.current());
  }

  private synchronized int current() {
    return limit.current();
  }

  private RefusalException unreachable(StageTicket ticket) {
    Duration wait = times.typical().multipliedBy(queued() + 1L).dividedBy(current());
    return RefusalException.because(RefusalReason.DEADLINE_UNREACHABLE)
        .stage(stage)
        .detail(
            "the remaining stages take about "
                + ticket.remaining().toMillis()
                + " ms and "
                + ticket.deadline().remaining().toMillis()
                + " ms are left")
        .retryAfter(wait)
        .build();
  }
}
