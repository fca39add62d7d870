package org.gradeledge.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLogs;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.Test;

/** What one box may send to upstreams that name limits. */
class UpstreamRateLimiterTests {

  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("u", "service", "127.0.0.1", 1, "zone", 8, false);

  private long nowMillis = 100_000;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
  private final UpstreamLimits limits =
      new UpstreamLimits(clock, EventLogs.silent(), () -> List.of(UPSTREAM));
  private Optional<BoxRank> rank = Optional.of(new BoxRank(0, 2));
  private boolean hasSingleSender;
  private final UpstreamRateLimiter limiter =
      new UpstreamRateLimiter(clock, limits, start -> rank, service -> hasSingleSender);

  @Test
  void allowsAllRequestsWithoutLimit() {
    for (int request = 0; request < 1_000; request++) {
      assertThat(limiter.admits(UPSTREAM)).isTrue();
      limiter.recordSent(UPSTREAM);
    }
    assertThat(limiter.millisUntilAdmitted(UPSTREAM, 50)).isZero();
    assertThat(limiter.requestsPerSecond(UPSTREAM)).isInfinite();
  }

  @Test
  void allowsNoRequestRightAfterLimitIsReceived() {
    announceLimit(1);

    assertThat(limiter.admits(UPSTREAM)).isFalse();
    assertThat(limiter.skipped()).isEqualTo(1);
  }

  @Test
  void sendsAtRateOfOwnShare() {
    announceLimit(2);

    assertThat(countSentWithin(20_000)).isBetween(16, 20);
  }

  @Test
  void sendsNothingWithoutShare() {
    announceLimit(1);
    rank = Optional.of(new BoxRank(7, 8));

    assertThat(countSentWithin(20_000)).isZero();
    assertThat(limiter.millisUntilAdmitted(UPSTREAM, 0)).isInfinite();
    assertThat(limiter.requestsPerSecond(UPSTREAM)).isZero();
  }

  @Test
  void sendsNothingWithoutRank() {
    announceLimit(1);
    rank = Optional.empty();

    assertThat(countSentWithin(20_000)).isZero();
  }

  @Test
  void doesNotRefillWhileShareIsLost() {
    announceLimit(1);
    countSentWithin(10_000);
    rank = Optional.of(new BoxRank(7, 8));
    countSentWithin(60_000);
    rank = Optional.of(new BoxRank(0, 2));

    assertThat(countSentWithin(1_000)).isLessThanOrEqualTo(1);
  }

  @Test
  void burstAfterIdlePeriodIsBounded() {
    announceLimit(1);
    limiter.admits(UPSTREAM);
    nowMillis += 3_600_000;

    assertThat(countSentWithin(1)).isBetween(1, 3);
  }

  @Test
  void requestsSentWithoutTokenDelayLaterOnes() {
    announceLimit(1);
    countSentWithin(10_000);

    limiter.recordSent(UPSTREAM);
    limiter.recordSent(UPSTREAM);

    assertThat(limiter.millisUntilAdmitted(UPSTREAM, 0)).isGreaterThan(4_000);
  }

  @Test
  void waitGrowsWithRequestsSentBefore() {
    announceLimit(2);
    assertThat(limiter.admits(UPSTREAM)).isFalse();

    double first = limiter.millisUntilAdmitted(UPSTREAM, 0);
    nowMillis += (long) Math.ceil(first);

    assertThat(limiter.admits(UPSTREAM)).isTrue();
    assertThat(limiter.millisUntilAdmitted(UPSTREAM, 1)).isBetween(1_000.0, 1_200.0);
  }

  @Test
  void singleSenderHasWholeLimitWhateverItsRank() {
    hasSingleSender = true;
    rank = Optional.of(new BoxRank(400, 530));
    announceLimit(1);

    assertThat(countSentWithin(20_000)).isBetween(17, 20);
  }

  @Test
  void appliesLowerLimitAtOnce() {
    announceLimit(20);
    countSentWithin(5_000);
    announceLimit(0.5);

    assertThat(countSentWithin(4_000)).isLessThanOrEqualTo(3);
  }

  @Test
  void allowsAllRequestsAfterLimitIsLifted() {
    announceLimit(1);
    limiter.admits(UPSTREAM);
    nowMillis++;
    limits.onAnswer(UPSTREAM, clock.nanos(), LimitAnnouncement.NO_LIMIT);

    assertThat(countSentWithin(100)).isEqualTo(100);
  }

  @Test
  void combinedLimiterUsesLowerRate() {
    announceLimit(1);
    SendLimiter both = SendLimiter.allOf(SendLimiter.UNLIMITED, limiter);

    assertThat(both.admits(UPSTREAM)).isFalse();
    assertThat(both.requestsPerSecond(UPSTREAM)).isEqualTo(limiter.requestsPerSecond(UPSTREAM));
    assertThat(both.millisUntilAdmitted(UPSTREAM, 0)).isPositive();
  }

  private int countSentWithin(long millis) {
    int sent = 0;
    for (long passed = 0; passed < millis; passed++) {
      nowMillis++;
      if (limiter.admits(UPSTREAM)) {
        limiter.recordSent(UPSTREAM);
        sent++;
      }
    }
    return sent;
  }

  private void announceLimit(double perSecond) {
    limits.onAnswer(UPSTREAM, clock.nanos(), LimitAnnouncement.named(perSecond));
  }
}
