package org.gradeledge.limit;

import java.util.Arrays;
import java.util.List;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * Whether this box may send one more request to an upstream now. Confined to the event loop.
 *
 * @since 0.4
 */
public interface SendLimiter {

  /** A rule that holds nothing back. */
  SendLimiter UNLIMITED = allOf();

  /** Returns whether one more request may be sent to an upstream now. */
  boolean admits(UpstreamRecord upstream);

  /** Notes that a request goes to an upstream, whether it was admitted or has to go there. */
  void recordSent(UpstreamRecord upstream);

  /**
   * Returns after how many milliseconds a request is admitted if so many others go before it;
   * infinite where this box sends nothing there.
   */
  double millisUntilAdmitted(UpstreamRecord upstream, double sentBefore);

  /**
   * Returns how many requests a second this box may send to an upstream; zero where that is nothing
   * for now, even if it is more later.
   */
  double requestsPerSecond(UpstreamRecord upstream);

  /** Returns the rule that holds back whatever one of several does: the smaller rate. */
  static SendLimiter allOf(SendLimiter... rules) {
    List<SendLimiter> all = Arrays.asList(rules);
    return new SendLimiter() {

      @Override
      public boolean admits(UpstreamRecord upstream) {
        return all.stream().allMatch(rule -> rule.admits(upstream));
      }

      @Override
      public void recordSent(UpstreamRecord upstream) {
        all.forEach(rule -> rule.recordSent(upstream));
      }

      @Override
      public double millisUntilAdmitted(UpstreamRecord upstream, double sentBefore) {
        return all.stream()
            .mapToDouble(rule -> rule.millisUntilAdmitted(upstream, sentBefore))
            .max()
            .orElse(0);
      }

      @Override
      public double requestsPerSecond(UpstreamRecord upstream) {
        return all.stream()
            .mapToDouble(rule -> rule.requestsPerSecond(upstream))
            .min()
            .orElse(Double.POSITIVE_INFINITY);
      }
    };
  }
}
