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
class LimitedSendingTests {

  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("u", "service", "127.0.0.1", 1, "zone", 8, false);

  private long nowMillis = 100_000;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
  private final UpstreamLimits limits =
      new UpstreamLimits(clock, EventLogs.silent(), () -> List.of(UPSTREAM));
  private Optional<BoxRank> rank = Optional.of(new BoxRank(0, 2));
  private boolean oneBoxSends;
  private final LimitedSending sending =
      new LimitedSending(clock, limits, start -> rank, service -> oneBoxSends);

  @Test
  void withoutALimitNothingIsHeldBack() {
    for (int request = 0; request < 1_000; request++) {
      assertThat(sending.admits(UPSTREAM)).isTrue();
      sending.sent(UPSTREAM);
    }
    assertThat(sending.millisUntilAdmitted(UPSTREAM, 50)).isZero();
    assertThat(sending.perSecond(UPSTREAM)).isInfinite();
  }

  @Test
  void nothingMoreIsSentAtTheMomentThatALimitIsHeard() {
    name(1);

    assertThat(sending.admits(UPSTREAM)).isFalse();
    assertThat(sending.heldOff()).isEqualTo(1);
  }

  @Test
  void aBoxSendsAsOftenAsItsShareAllows() {
    name(2);

    assertThat(sentWithin(20_000)).isBetween(16, 20);
  }

  @Test
  void aBoxThatHasNoShareSendsNothing() {
    name(1);
    rank = Optional.of(new BoxRank(7, 8));

    assertThat(sentWithin(20_000)).isZero();
    assertThat(sending.millisUntilAdmitted(UPSTREAM, 0)).isInfinite();
    assertThat(sending.perSecond(UPSTREAM)).isZero();
  }

  @Test
  void aBoxThatCannotKnowWhoElseIsThereSendsNothing() {
    name(1);
    rank = Optional.empty();

    assertThat(sentWithin(20_000)).isZero();
  }

  @Test
  void aShareThatWasLostAndComesBackHasNotGrownMeanwhile() {
    name(1);
    sentWithin(10_000);
    rank = Optional.of(new BoxRank(7, 8));
    sentWithin(60_000);
    rank = Optional.of(new BoxRank(0, 2));

    assertThat(sentWithin(1_000)).isLessThanOrEqualTo(1);
  }

  @Test
  void afterALongRestNoMoreIsSentThanTheBucketHolds() {
    name(1);
    sending.admits(UPSTREAM);
    nowMillis += 3_600_000;

    assertThat(sentWithin(1)).isBetween(1, 3);
  }

  @Test
  void whatHasToGoThereAllTheSameIsMadeUpForLater() {
    name(1);
    sentWithin(10_000);

    sending.sent(UPSTREAM);
    sending.sent(UPSTREAM);

    assertThat(sending.millisUntilAdmitted(UPSTREAM, 0)).isGreaterThan(4_000);
  }

  @Test
  void theWaitIsToldAndGrowsWithWhatGoesBefore() {
    name(2);
    assertThat(sending.admits(UPSTREAM)).isFalse();

    double first = sending.millisUntilAdmitted(UPSTREAM, 0);
    nowMillis += (long) Math.ceil(first);

    assertThat(sending.admits(UPSTREAM)).isTrue();
    assertThat(sending.millisUntilAdmitted(UPSTREAM, 1)).isBetween(1_000.0, 1_200.0);
  }

  @Test
  void aBoxThatMakesAllCallsOfAServiceHasTheWholeLimitWhereverItStands() {
    oneBoxSends = true;
    rank = Optional.of(new BoxRank(400, 530));
    name(1);

    assertThat(sentWithin(20_000)).isBetween(17, 20);
  }

  @Test
  void aSmallerLimitHoldsAtOnce() {
    name(20);
    sentWithin(5_000);
    name(0.5);

    assertThat(sentWithin(4_000)).isLessThanOrEqualTo(3);
  }

  @Test
  void onceItIsLiftedAllGoesThereAgain() {
    name(1);
    sending.admits(UPSTREAM);
    nowMillis++;
    limits.answered(UPSTREAM, clock.nanos(), LimitStatement.NO_LIMIT);

    assertThat(sentWithin(100)).isEqualTo(100);
  }

  @Test
  void ofTwoRulesTheSmallerRateHolds() {
    name(1);
    SendingRule both = SendingRule.allOf(SendingRule.NONE, sending);

    assertThat(both.admits(UPSTREAM)).isFalse();
    assertThat(both.perSecond(UPSTREAM)).isEqualTo(sending.perSecond(UPSTREAM));
    assertThat(both.millisUntilAdmitted(UPSTREAM, 0)).isPositive();
  }

  private int sentWithin(long millis) {
    int sent = 0;
    for (long passed = 0; passed < millis; passed++) {
      nowMillis++;
      if (sending.admits(UPSTREAM)) {
        sending.sent(UPSTREAM);
        sent++;
      }
    }
    return sent;
  }

  private void name(double perSecond) {
    limits.answered(UPSTREAM, clock.nanos(), LimitStatement.named(perSecond));
  }
}
