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
 * Limits the calls of one stage that this box has in flight and orders the waiting ones.
 *
 * <p>Waiting calls start by weighted fair queueing across the client accounts; the share of an
 * account grows with its weight and priority. A call that can no longer meet its deadline is
 * refused immediately. Thread-safe.
 *
 * @since 0.1
 */
public final class StageLimiter {

  private static final Comparator<QueuedTicket> ORDER =
      Comparator.comparingDouble(QueuedTicket::virtualFinishTime)
          .thenComparingLong(QueuedTicket::sequence);

  private final String stage;
  private final StageLatencies latencies;
  private final Map<String, Double> finishTimesByAccount = new HashMap<>();
  private final TreeSet<QueuedTicket> queue = new TreeSet<>(ORDER);
  private final AdaptiveLimit limit;
  private int inFlight;
  private double virtualTime;
  private long sequence;

  /** Creates a limiter for a stage with the given recent latencies. */
  public StageLimiter(String stage, int limit, StageLatencies latencies) {
    this.stage = stage;
    this.limit = new AdaptiveLimit(limit);
    this.latencies = latencies;
  }

  /** Sets the maximum number of calls in flight. */
  public synchronized void setLimit(int value) {
    limit.setMaxLimit(value);
  }

  /** Records the latency of a completed call. */
  public void recordCompletion(long nanos) {
    latencies.record(nanos);
    synchronized (this) {
      limit.record(nanos);
    }
    startWaiting();
  }

  /** Returns the expected wait of a new call of an account. */
  public synchronized Duration expectedWait(AccountDefinition account) {
    double finishTime = virtualFinishTime(account);
    long ahead =
        queue.stream().takeWhile(waiting -> waiting.virtualFinishTime() <= finishTime).count();
    return expectedWaitBehind(ahead);
  }

  /** Returns the number of waiting calls. */
  public synchronized int queueLength() {
    return queue.size();
  }

  /**
   * Waits for a permit and emits the action that releases it, which must run once when the call has
   * ended. Cancelling removes the call from the queue. Emits a {@link RefusalException} for a call
   * that was not run if the deadline cannot be met.
   */
  public Mono<Runnable> acquire(StageTicket ticket) {
    return Mono.defer(
        () -> {
          AtomicReference<@Nullable QueuedTicket> ownTicket = new AtomicReference<>();
          return Mono.<Runnable>create(
                  sink -> {
                    QueuedTicket queued = newTicket(ticket, sink);
                    ownTicket.set(queued);
                    enqueueOrRefuse(queued);
                  })
              .doOnCancel(() -> cancel(ownTicket.get()));
        });
  }

  private synchronized QueuedTicket newTicket(StageTicket ticket, MonoSink<Runnable> sink) {
    double finishTime = virtualFinishTime(ticket.account());
    AtomicBoolean granted = new AtomicBoolean();
    return new QueuedTicket(
        ticket, finishTime, sequence++, sink, granted, () -> releaseAndStartWaiting(granted));
  }

  private void enqueueOrRefuse(QueuedTicket queued) {
    if (!enqueue(queued)) {
      queued.refuse(deadlineUnreachable(queued.ticket()));
      return;
    }
    startWaiting();
    if (isWaiting(queued)) {
      scheduleExpiry(queued);
    }
  }

  private synchronized boolean enqueue(QueuedTicket queued) {
    StageTicket ticket = queued.ticket();
    if (!ticket.canMeetDeadline() || expectedWait(ticket.account()).compareTo(ticket.slack()) > 0) {
      return false;
    }
    finishTimesByAccount.put(ticket.account().name(), queued.virtualFinishTime());
    return queue.add(queued);
  }

  private void scheduleExpiry(QueuedTicket queued) {
    Disposable timer =
        Schedulers.parallel()
            .schedule(
                () -> expire(queued), queued.ticket().slack().toMillis(), TimeUnit.MILLISECONDS);
    queued.sink().onDispose(timer);
  }

  /** Removes a cancelled ticket, or releases its permit if it was granted concurrently. */
  private void cancel(@Nullable QueuedTicket queued) {
    if (queued != null && !removeFromQueue(queued)) {
      queued.release().run();
    }
  }

  private void startWaiting() {
    Optional<QueuedTicket> next = pollNext();
    while (next.isPresent()) {
      QueuedTicket queued = next.get();
      if (queued.ticket().canMeetDeadline()) {
        queued.grant();
      } else {
        releasePermit(queued.granted());
        queued.refuse(deadlineUnreachable(queued.ticket()));
      }
      next = pollNext();
    }
  }

  private synchronized Optional<QueuedTicket> pollNext() {
    if (inFlight >= limit.current() || queue.isEmpty()) {
      return Optional.empty();
    }
    QueuedTicket next = queue.pollFirst();
    inFlight++;
    next.granted().set(true);
    virtualTime = Math.max(virtualTime, next.virtualFinishTime() - cost(next.ticket().account()));
    resetFairnessWhenIdle();
    return Optional.of(next);
  }

  private void resetFairnessWhenIdle() {
    if (queue.isEmpty()) {
      finishTimesByAccount.clear();
      virtualTime = 0;
    }
  }

  private void releaseAndStartWaiting(AtomicBoolean granted) {
    if (releasePermit(granted)) {
      startWaiting();
    }
  }

  /** Releases a permit without starting waiting calls and returns whether it was held. */
  private synchronized boolean releasePermit(AtomicBoolean granted) {
    boolean released = granted.compareAndSet(true, false);
    if (released) {
      inFlight--;
    }
    return released;
  }

  private synchronized boolean isWaiting(QueuedTicket queued) {
    return queue.contains(queued);
  }

  private synchronized boolean removeFromQueue(QueuedTicket queued) {
    return queue.remove(queued);
  }

  private void expire(QueuedTicket queued) {
    if (removeFromQueue(queued)) {
      queued.refuse(deadlineUnreachable(queued.ticket()));
    }
  }

  private double virtualFinishTime(AccountDefinition account) {
    double start = Math.max(virtualTime, finishTimesByAccount.getOrDefault(account.name(), 0.0));
    return start + cost(account);
  }

  /** Returns the virtual cost of a call, which decreases with the account's weight and priority. */
  private static double cost(AccountDefinition account) {
    return 1.0 / (account.weight() * (1.0 + account.priority()));
  }

  private Duration expectedWaitBehind(long ahead) {
    return inFlight < limit.current()
        ? Duration.ZERO
        : latencies.median().multipliedBy(ahead + 1).dividedBy(limit.current());
  }

  private synchronized int currentLimit() {
    return limit.current();
  }

  private RefusalException deadlineUnreachable(StageTicket ticket) {
    Duration retryDelay =
        latencies.median().multipliedBy(queueLength() + 1L).dividedBy(currentLimit());
    return RefusalException.forReason(RefusalReason.DEADLINE_UNREACHABLE)
        .stage(stage)
        .detail(
            "the remaining stages take about "
                + ticket.estimatedRemaining().toMillis()
                + " ms and "
                + ticket.deadline().remaining().toMillis()
                + " ms are left")
        .retryAfter(retryDelay)
        .build();
  }
}
