package org.gradeledge.limit;

import java.util.Optional;

/**
 * The share of an upstream's rate limit that one box may use.
 *
 * <p>The limit is split among as many boxes as can have a bucket of at least {@code MIN_BURST}
 * requests; the others send nothing to the upstream. The buckets together stay below the burst that
 * the deployment accepts in a 4 s window, which leaves a reserve for boxes with different views of
 * the membership and for delayed requests: 3 boxes have a share of a limit of 1 a second, 8 of 5,
 * all of 61 from 49 a second on.
 *
 * @param requestsPerSecond refill rate of the bucket
 * @param burst capacity of the bucket
 * @param initialTokens tokens in a new bucket; staggered by rank, so that boxes do not all send as
 *     soon as a limit is announced
 * @since 0.4
 */
public record LimitShare(double requestsPerSecond, double burst, double initialTokens) {

  /** Fraction of the limit that is allocated; the rest is reserved for bursts. */
  private static final double ALLOCATED_FRACTION = 0.9;

  /** Window in which the deployment counts requests. */
  private static final double WINDOW_SECONDS = 4;

  /** Multiple of the limit that the deployment accepts in each window. */
  private static final double LIMIT_FACTOR = 1.5;

  /** Requests that the deployment accepts in each window above that multiple. */
  private static final double EXTRA_REQUESTS = 5;

  /** Fraction of the accepted burst that the buckets use. */
  private static final double SLACK_FRACTION = 0.75;

  /**
   * Above one request, as a bucket of one request is full whenever its box is idle for a moment and
   * loses the tokens that arrive meanwhile. Boxes that want to send three times a second use 0.87
   * to 0.92 of a limit, with one request 0.79 to 0.91; a larger burst leaves fewer boxes a share.
   */
  private static final double MIN_BURST = 1.5;

  /** Minimum rate, so that an upstream with a limit of zero can still announce a higher one. */
  private static final double MIN_REQUESTS_PER_SECOND = 0.1;

  /**
   * Bounds the burst of a single sender, as its successor may send while that burst still counts.
   */
  private static final double MAX_SINGLE_SENDER_BURST = 2;

  /** Returns the share of a box with the given rank, empty if it has none. */
  static Optional<LimitShare> of(double limitPerSecond, BoxRank box) {
    double slack = slack(limitPerSecond);
    int senders = Math.min(box.boxCount(), Math.max(1, (int) (slack / MIN_BURST)));
    if (box.rank() >= senders) {
      return Optional.empty();
    }
    double sendersAfter = senders - 1 - box.rank();
    return Optional.of(
        new LimitShare(
            allocated(limitPerSecond) / senders, slack / senders, sendersAfter / senders));
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
    double acceptedBurst =
        (LIMIT_FACTOR - ALLOCATED_FRACTION) * limitPerSecond * WINDOW_SECONDS + EXTRA_REQUESTS;
    return acceptedBurst * SLACK_FRACTION;
  }
}
