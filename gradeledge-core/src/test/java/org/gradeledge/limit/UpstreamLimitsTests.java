package org.gradeledge.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.RecordedEvents;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.Test;

/** What is known of the limits of upstreams, whoever heard them and in whatever order. */
class UpstreamLimitsTests {

  private static final UpstreamRecord UPSTREAM = upstream("u", 1);
  private static final String START = UPSTREAM.incarnationId();
  private static final String OTHER_BOX = "other";

  private long nowMillis = 100_000;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
  private final List<UpstreamRecord> listed = new ArrayList<>(List.of(UPSTREAM));
  private final RecordedEvents events = new RecordedEvents();
  private final UpstreamLimits limits = new UpstreamLimits(clock, events.log(), () -> listed);
  private int news;

  UpstreamLimitsTests() {
    limits.onNews(() -> news++);
  }

  @Test
  void aLimitHoldsFromTheFirstAnswerThatNamesIt() {
    answer(LimitStatement.named(1.3), 50);

    assertThat(limits.limitOf(START)).hasValue(1.3);
    assertThat(news).isEqualTo(1);
  }

  @Test
  void itBelongsToOneStartOnly() {
    answer(LimitStatement.named(1), 0);

    assertThat(limits.limitOf(upstream("u", 2).incarnationId())).isEmpty();
  }

  @Test
  void theNewestFigureHolds() {
    answer(LimitStatement.named(1), 0);
    answer(LimitStatement.named(7), 0);

    assertThat(limits.limitOf(START)).hasValue(7);
  }

  @Test
  void anAnswerWithoutOneToARequestThatWasSentAfterItWasNamedLiftsIt() {
    answer(LimitStatement.named(1), 0);
    pass(10);

    answer(LimitStatement.NO_LIMIT, 5);

    assertThat(limits.limitOf(START)).isEmpty();
    assertThat(news).isEqualTo(2);
  }

  @Test
  void anAnswerWithoutOneThatWasOvertakenDoesNotLiftIt() {
    answer(LimitStatement.named(1), 0);
    pass(10);

    answer(LimitStatement.NO_LIMIT, 200);

    assertThat(limits.limitOf(START)).hasValue(1);
  }

  @Test
  void whatDoesNotTellOrCannotBeReadChangesNothing() {
    answer(LimitStatement.named(1), 0);
    pass(10);

    answer(LimitStatement.NOTHING, 0);
    answer(LimitStatement.unreadable("many"), 0);

    assertThat(limits.limitOf(START)).hasValue(1);
  }

  @Test
  void whatCannotBeReadIsALineOnceForEachText() {
    answer(LimitStatement.unreadable("many"), 0);
    answer(LimitStatement.unreadable("many"), 0);
    answer(LimitStatement.unreadable("-1"), 0);

    assertThat(events.count("upstream-limit-unreadable")).isEqualTo(2);
  }

  @Test
  void figuresThatHardlyChangeAreNoLineEach() {
    for (int step = 0; step < 50; step++) {
      answer(LimitStatement.named(1 + step % 2 * 0.1), 0);
    }
    answer(LimitStatement.named(4), 0);

    assertThat(events.count("upstream-limit")).isEqualTo(2);
  }

  @Test
  void oneThatAnotherBoxHeardHoldsHereToo() {
    assertThat(told(1_300, 20)).isTrue();

    assertThat(limits.limitOf(START)).hasValue(1.3);
    assertThat(news).as("who heard it tells it").isZero();
  }

  @Test
  void ofWhatBoxesTellTheYoungerHolds() {
    told(1_000, 500);

    assertThat(told(2_000, 900)).isFalse();
    assertThat(limits.limitOf(START)).hasValue(1);
    assertThat(told(LimitReport.LIFTED, 100)).isTrue();
    assertThat(limits.limitOf(START)).isEmpty();
    assertThat(told(1_000, 300)).isFalse();
    assertThat(limits.limitOf(START)).isEmpty();
  }

  @Test
  void whatIsToldAgainAndAgainDoesNotGrowYounger() {
    told(1_000, 0);
    pass(1_000);
    told(1_000, 0);

    assertThat(limits.reports()).containsExactly(new LimitReport(START, 1_000, 1_000));
  }

  @Test
  void whatCameOverARelayIsAsMuchOlder() {
    limits.told(OTHER_BOX, List.of(new LimitReport(START, 1_000, 100)), 250);

    assertThat(limits.reports()).containsExactly(new LimitReport(START, 1_000, 350));
  }

  @Test
  void aLiftedLimitIsToldForAWhileAndThenLeftOut() {
    answer(LimitStatement.named(1), 0);
    pass(10);
    answer(LimitStatement.NO_LIMIT, 0);

    assertThat(limits.reports()).containsExactly(new LimitReport(START, LimitReport.LIFTED, 0));
    pass(10_000);
    assertThat(limits.reports()).isEmpty();
    assertThat(told(1_000, 10_050)).as("an old word of it").isFalse();
  }

  @Test
  void nothingIsKeptOfUpstreamsThatAreNotListed() {
    limits.told(OTHER_BOX, List.of(new LimitReport("unheard-of", 1_000, 0)), 0);
    assertThat(limits.count()).isZero();
    answer(LimitStatement.named(1), 0);

    listed.clear();

    assertThat(limits.reports()).isEmpty();
    assertThat(limits.count()).isZero();
  }

  @Test
  void aVeryLargeFigureIsAsGoodAsNoLimit() {
    answer(LimitStatement.named(1e300), 0);

    assertThat(limits.limitOf(START).getAsDouble()).isBetween(1e8, 1e10);
  }

  private boolean told(long perThousandSeconds, long ageMillis) {
    return limits.told(
        OTHER_BOX, List.of(new LimitReport(START, perThousandSeconds, ageMillis)), 0);
  }

  private void answer(LimitStatement statement, long sentMillisAgo) {
    limits.answered(
        UPSTREAM, clock.nanos() - TimeUnit.MILLISECONDS.toNanos(sentMillisAgo), statement);
  }

  private void pass(long millis) {
    nowMillis += millis;
  }

  private static UpstreamRecord upstream(String id, long born) {
    return new UpstreamRecord(id, born, "service", "127.0.0.1", 1, "zone", 8, false, 0);
  }
}
