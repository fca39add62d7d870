package org.gradeledge.relay;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * Chooses an upstream for one request. If all candidates are limited, the request waits in the
 * {@link DispatchQueue} while its answer can still meet the target time, and is refused otherwise.
 * Confined to the event loop.
 */
final class RequestDispatcher {

  /**
   * Share of the remaining target time that a request may wait; the rest is left for the answer.
   */
  private static final double MAX_WAIT_SHARE_OF_TARGET = 0.5;

  private final DispatchQueue queue;
  private final int priority;
  private final Runnable dispatch;
  private final UpstreamCandidates candidates;
  private final RequestClock clock;
  private final ExchangeOutcome outcome;
  private DispatchQueue.QueuedRequest queued;

  RequestDispatcher(ExchangeContext context, Runnable dispatch) {
    this.queue = context.queue();
    this.priority = context.admitted().priority();
    this.dispatch = dispatch;
    this.candidates = context.candidates();
    this.queued = newQueuedRequest();
    this.clock = context.clock();
    this.outcome = context.outcome();
  }

  private DispatchQueue.QueuedRequest newQueuedRequest() {
    return new DispatchQueue.QueuedRequest(candidates.queueName(), priority, dispatch);
  }

  /** Moves the request to the queue of its candidates, which a started stream restricts. */
  private void updateQueue() {
    if (!queued.queueName().equals(candidates.queueName())) {
      queue.remove(queued);
      queued = newQueuedRequest();
    }
  }

  /** Removes the request from the queue. */
  void leaveQueue() {
    queue.remove(queued);
  }

  /**
   * Passes the chosen upstream to {@code send}, or the reason why there is none to {@code refuse};
   * calls neither while the request waits.
   */
  void chooseUpstream(Consumer<UpstreamRecord> send, Consumer<Refusal> refuse) {
    updateQueue();
    Optional<UpstreamRecord> upstream =
        isReservedForOthers() ? Optional.empty() : candidates.chooseNext();
    if (upstream.isPresent()) {
      queue.remove(queued);
      send.accept(upstream.get());
    } else if (!tryWait()) {
      refuse.accept(candidates.refusal());
    }
  }

  /**
   * Returns whether the waiting requests ahead of this one use up what the upstreams accept now.
   */
  private boolean isReservedForOthers() {
    long waitingAhead = queue.countWaitingAhead(queued);
    return waitingAhead > 0 && candidates.millisUntilNext(waitingAhead).orElse(0) > 0;
  }

  /**
   * Adds the request to the queue before its stage work starts; returns whether no upstream would
   * accept it within its target time.
   */
  boolean enqueueAndCheckLate() {
    queue.add(queued);
    return waitExceeds(clock.targetRemainingMillis());
  }

  private boolean tryWait() {
    queue.add(queued);
    boolean mustWait =
        candidates.refusal() == Refusal.UPSTREAMS_LIMITED
            && !waitExceeds(clock.targetRemainingMillis() * MAX_WAIT_SHARE_OF_TARGET);
    if (mustWait) {
      queue.addWaiting(queued);
    }
    return mustWait;
  }

  /**
   * Records when a retry may succeed if all upstreams have rejected the request: once one of the
   * service accepts requests of this box again.
   */
  void recordRetryAfter(Refusal refusal) {
    if (refusal == Refusal.UPSTREAMS_FULL) {
      candidates.millisUntilAny().ifPresent(millis -> outcome.setJitteredRetryAfter((long) millis));
    }
  }

  private boolean waitExceeds(double maxMillis) {
    OptionalDouble waitMillis = candidates.millisUntilNext(queue.countAhead(queued));
    if (waitMillis.isEmpty() || waitMillis.getAsDouble() <= maxMillis) {
      return false;
    }
    outcome.setJitteredRetryAfter((long) waitMillis.getAsDouble());
    return true;
  }
}
