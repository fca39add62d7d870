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
final class DispatchTurn {

  /** What waits leaves the rest of its time for the answer. */
  private static final double MOST_OF_TARGET_WAITED = 0.5;

  private final DispatchQueue queue;
  private final DispatchQueue.Place place;
  private final UpstreamCandidates candidates;
  private final RequestClock clock;
  private final ExchangeOutcome outcome;

  DispatchTurn(ExchangeParts parts, Runnable dispatch) {
    this.queue = parts.queue();
    this.place =
        new DispatchQueue.Place(parts.admitted().service(), parts.admitted().priority(), dispatch);
    this.candidates = parts.candidates();
    this.clock = parts.clock();
    this.outcome = parts.outcome();
  }

  /** The request is over. */
  void leave() {
    queue.remove(place);
  }

  /** Hands on the upstream to be tried, or why there is none; neither while the request waits. */
  void take(Consumer<UpstreamRecord> send, Consumer<Refusal> refuse) {
    Optional<UpstreamRecord> next = isOthers() ? Optional.empty() : candidates.next();
    if (next.isPresent()) {
      queue.remove(place);
      send.accept(next.get());
    } else if (!await()) {
      refuse.accept(candidates.whyNone());
    }
  }

  /** Returns whether other requests that wait take what the upstreams still take now. */
  private boolean isOthers() {
    long ahead = queue.waitingAhead(place);
    return ahead > 0 && candidates.millisUntilNext(ahead).orElse(0) > 0;
  }

  /**
   * Puts the request, which will want an upstream once its stage work is done, into the queue;
   * returns whether none takes it before its answer is late.
   */
  boolean comesTooLate() {
    queue.expect(place);
    return isLongerThan(clock.targetLeftMillis());
  }

  private boolean await() {
    queue.expect(place);
    boolean waits =
        candidates.whyNone() == Refusal.UPSTREAMS_LIMITED
            && !isLongerThan(clock.targetLeftMillis() * MOST_OF_TARGET_WAITED);
    if (waits) {
      queue.await(place);
    }
    return waits;
  }

  /**
   * Notes when asking again may help, where the request ends as all that were asked are full: not
   * before one of the service takes any request of this box.
   */
  void noteComeBack(Refusal refusal) {
    if (refusal == Refusal.UPSTREAMS_FULL) {
      candidates.millisUntilAny().ifPresent(millis -> outcome.comeBackAfter((long) millis));
    }
  }

  private boolean isLongerThan(double mostMillis) {
    OptionalDouble wait = candidates.millisUntilNext(queue.ahead(place));
    if (wait.isEmpty() || wait.getAsDouble() <= mostMillis) {
      return false;
    }
    outcome.comeBackAfter((long) wait.getAsDouble());
    return true;
  }
}
