package org.gradeledge.relay;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * When one request may be sent to an upstream. Where all that it may go to name limits, it waits
 * for its turn as long as its answer can still be in time, and is refused at once otherwise.
 * Confined to the event loop.
 */
final class RequestDispatcher {

  /** What waits leaves the rest of its time for the answer. */
  private static final double MAX_WAIT_SHARE_OF_TARGET = 0.5;

  private final DispatchQueue queue;
  private final DispatchQueue.QueuedRequest queued;
  private final UpstreamCandidates candidates;
  private final RequestClock clock;
  private final ExchangeOutcome outcome;

  RequestDispatcher(ExchangeContext parts, Runnable dispatch) {
    this.queue = parts.queue();
    this.queued =
        new DispatchQueue.QueuedRequest(
            parts.admitted().service(), parts.admitted().priority(), dispatch);
    this.candidates = parts.candidates();
    this.clock = parts.clock();
    this.outcome = parts.outcome();
  }

  /** The request is over. */
  void leaveQueue() {
    queue.remove(queued);
  }

  /** Hands on the upstream to be tried, or why there is none; neither while the request waits. */
  void chooseUpstream(Consumer<UpstreamRecord> send, Consumer<Refusal> refuse) {
    Optional<UpstreamRecord> next =
        isReservedForOthers() ? Optional.empty() : candidates.chooseNext();
    if (next.isPresent()) {
      queue.remove(queued);
      send.accept(next.get());
    } else if (!tryWait()) {
      refuse.accept(candidates.refusal());
    }
  }

  /** Returns whether other requests that wait take what the upstreams still take now. */
  private boolean isReservedForOthers() {
    long ahead = queue.countWaitingAhead(queued);
    return ahead > 0 && candidates.millisUntilNext(ahead).orElse(0) > 0;
  }

  /**
   * Puts the request, which will want an upstream once its stage work is done, into the queue;
   * returns whether none takes it before its answer is late.
   */
  boolean enqueueAndCheckLate() {
    queue.add(queued);
    return waitExceeds(clock.targetRemainingMillis());
  }

  private boolean tryWait() {
    queue.add(queued);
    boolean waits =
        candidates.refusal() == Refusal.UPSTREAMS_LIMITED
            && !waitExceeds(clock.targetRemainingMillis() * MAX_WAIT_SHARE_OF_TARGET);
    if (waits) {
      queue.addWaiting(queued);
    }
    return waits;
  }

  /**
   * Notes when asking again may help, where the request ends as all that were asked are full: not
   * before one of the service takes any request of this box.
   */
  void recordRetryAfter(Refusal refusal) {
    if (refusal == Refusal.UPSTREAMS_FULL) {
      candidates.millisUntilAny().ifPresent(millis -> outcome.setJitteredRetryAfter((long) millis));
    }
  }

  private boolean waitExceeds(double mostMillis) {
    OptionalDouble wait = candidates.millisUntilNext(queue.countAhead(queued));
    if (wait.isEmpty() || wait.getAsDouble() <= mostMillis) {
      return false;
    }
    outcome.setJitteredRetryAfter((long) wait.getAsDouble());
    return true;
  }
}
