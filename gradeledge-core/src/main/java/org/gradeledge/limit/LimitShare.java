package org.gradeledge.limit;

import java.util.Optional;

/**
 * The part of an upstream's limit that one box has.
 *
 * <p>Few boxes have a part and the others leave the upstream alone. In any 4 s a box may send what
 * its bucket holds and what runs into it meanwhile; with a bucket that holds no request nothing
 * could be sent, so that the number of buckets is what bounds a burst. They hold three quarters of
 * what the deployment allows over the limit (half of the limit and 5 requests in 4 s): 3 boxes at a
 * limit of 1 a second, 8 at 5, all of 61 from 49 on. The last quarter is for boxes that differ for
 * a moment on who they are, and for requests that are held up on their way.
 *
 * @param requestsPerSecond requests a second that it may send
 * @param burst requests that it may send at once after a rest
 * @param initialTokens what its bucket holds when it first has a part: boxes begin one after the
 *     other, so that nothing is sent at once when a limit is heard
 * @since 0.4
 */
public record LimitShare(double requestsPerSecond, double burst, double initialTokens) {

  /** Part of the limit that is given out; what is left is room for bursts. */
  private static final double ALLOCATED_FRACTION = 0.9;

  /** Over this time the deployment's rule counts, in seconds. */
  private static final double WINDOW_SECONDS = 4;

  /** In each window so much of the limit may come ... */
  private static final double LIMIT_FACTOR = 1.5;

  /** ... and so many requests more. */
  private static final double EXTRA_REQUESTS = 5;

  /** Part of what the rule allows over what is given out that the buckets hold; see above. */
  private static final double SLACK_FRACTION = 0.75;

  /**
   * A bucket that holds one request is full, and wastes what runs into it, whenever its box has
   * nothing to send for a moment. With 1.5 in place of 1 boxes that want to send three times a
   * second use 0.87 to 0.92 of a limit (0.79 to 0.91 before), with 2 the same; beyond that fewer
   * boxes have a part for nothing.
   */
  private static final double MIN_BURST = 1.5;

  /** An upstream that gets nothing could never say that its need is over: one in 10 s at least. */
  private static final double MIN_REQUESTS_PER_SECOND = 0.1;

  /**
   * A box that alone makes all calls of a service passes that on at times, and its successor begins
   * while its own burst still counts.
   */
  private static final double MAX_SINGLE_SENDER_BURST = 2;

  /** Returns the share of a box that has a place among others, empty if it has none. */
  static Optional<LimitShare> of(double limitPerSecond, BoxRank box) {
    double slack = slack(limitPerSecond);
    int sharers = Math.min(box.boxCount(), Math.max(1, (int) (slack / MIN_BURST)));
    if (box.rank() >= sharers) {
      return Optional.empty();
    }
    double last = sharers - 1 - box.rank();
    return Optional.of(
        new LimitShare(allocated(limitPerSecond) / sharers, slack / sharers, last / sharers));
  }

  /** Returns the share of a box that sends all requests of a service. */
  static LimitShare forSingleSender(double limitPerSecond) {
    return new LimitShare(
        allocated(limitPerSecond), Math.min(MAX_SINGLE_SENDER_BURST, slack(limitPerSecond)), 0);
  }

  private static double allocated(double limitPerSecond) {
    return Math.max(MIN_REQUESTS_PER_SECOND, limitPerSecond * ALLOCATED_FRACTION);
  }

  private static double slack(double limitPerSecond) {
    double over =
        (LIMIT_FACTOR - ALLOCATED_FRACTION) * limitPerSecond * WINDOW_SECONDS + EXTRA_REQUESTS;
    return over * SLACK_FRACTION;
  }
}
