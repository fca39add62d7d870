package org.gradeledge.limit;

import java.util.Arrays;
import java.util.List;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * Decides whether this box may send another request to an upstream now. Confined to the event loop.
 *
 * @since 0.4
 */
public interface SendLimiter {

  /** A limiter that allows all requests. */
  SendLimiter UNLIMITED = allOf();

  /** Returns whether another request may be sent to an upstream now. */
  boolean admits(UpstreamRecord upstream);

  /** Records a request that is sent to an upstream, whether or not it was admitted. */
  void recordSent(UpstreamRecord upstream);

  /**
   * Returns the time in milliseconds until a request is admitted after the given number of earlier
   * requests; infinite if this box may not send to the upstream.
   */
  double millisUntilAdmitted(UpstreamRecord upstream, double sentBefore);

  /** Returns how many requests per second this box may send to an upstream now. */
  double requestsPerSecond(UpstreamRecord upstream);

  /** Returns a limiter that admits a request only if all given limiters admit it. */
  static SendLimiter allOf(SendLimiter... limiters) {
    List<SendLimiter> all = Arrays.asList(limiters);
    return new SendLimiter() {

      @Override
      public boolean admits(UpstreamRecord upstream) {
        return all.stream().allMatch(limiter -> limiter.admits(upstream));
      }

      @Override
      public void recordSent(UpstreamRecord upstream) {
        all.forEach(limiter -> limiter.recordSent(upstream));
      }

      @Override
      public double millisUntilAdmitted(UpstreamRecord upstream, double sentBefore) {
        return all.stream()
            .mapToDouble(limiter -> limiter.millisUntilAdmitted(upstream, sentBefore))
            .max()
            .orElse(0);
      }

      @Override
      public double requestsPerSecond(UpstreamRecord upstream) {
        return all.stream()
            .mapToDouble(limiter -> limiter.requestsPerSecond(upstream))
            .min()
            .orElse(Double.POSITIVE_INFINITY);
      }
    };
  }
}
