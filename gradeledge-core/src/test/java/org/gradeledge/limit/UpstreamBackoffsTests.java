package org.gradeledge.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLogs;
import org.gradeledge.event.RecordedEvents;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.Test;

/** What one box sends to upstreams that have asked for a time without requests. */
class UpstreamBackoffsTests {

  private static final UpstreamRecord UPSTREAM = upstream(1);
  private static final int FULL_USE = 200;

  private long nowMillis = 100_000;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
  private final UpstreamBackoffs backoffs = new UpstreamBackoffs(clock, EventLogs.silent());

  @Test
  void nothingIsHeldBackFromOneThatAskedForNothing() {
    assertThat(sentWithin(100)).isEqualTo(100);
    assertThat(backoffs.millisUntilAdmitted(UPSTREAM, 50)).isZero();
    assertThat(backoffs.perSecond(UPSTREAM)).isInfinite();
  }

  @Test
  void nothingIsSentUntilTheTimeIsOver() {
    request(UPSTREAM, 3_000);

    assertThat(backoffs.perSecond(UPSTREAM)).isZero();
    assertThat(backoffs.millisUntilAdmitted(UPSTREAM, 0)).isEqualTo(3_000);
    assertThat(sentWithin(2_999)).isZero();
    assertThat(backoffs.heldOff()).isEqualTo(2_999);
    assertThat(sentWithin(1)).isEqualTo(1);
  }

  @Test
  void aShorterTimeDoesNotEndAnEarlierOne() {
    request(UPSTREAM, 3_000);
    nowMillis += 500;
    request(UPSTREAM, 200);

    assertThat(sentWithin(2_499)).isZero();
    assertThat(sentWithin(1)).isEqualTo(1);
  }

  @Test
  void aLaterTimeThatEndsLaterHolds() {
    request(UPSTREAM, 1_000);
    nowMillis += 500;
    request(UPSTREAM, 2_000);

    assertThat(sentWithin(1_999)).isZero();
    assertThat(sentWithin(1)).isEqualTo(1);
  }

  @Test
  void anAnswerThatSaysNothingOfItEndsNothing() {
    request(UPSTREAM, 1_000);

    backoffs.answered(UPSTREAM, BackoffStatement.NOTHING);
    backoffs.answered(UPSTREAM, BackoffStatement.unreadable("soon"));

    assertThat(sentWithin(999)).isZero();
  }

  @Test
  void noTimeAtAllIsNoBackoff() {
    request(UPSTREAM, 0);

    assertThat(sentWithin(10)).isEqualTo(10);
  }

  @Test
  void aTimeWithoutEndIsBoundedByADay() {
    backoffs.answered(UPSTREAM, BackoffStatement.requested(Duration.ofSeconds(1_000_000_000)));

    assertThat(backoffs.millisUntilAdmitted(UPSTREAM, 0))
        .isEqualTo(UpstreamBackoffs.LONGEST.toMillis());
  }

  @Test
  void theFirstRequestsAfterwardsGoOneAfterTheOtherAndWithinASecondAllGo() {
    request(UPSTREAM, 1_000);
    nowMillis += 1_000;

    assertThat(sentWithin(999)).isBetween(9, 11);
    assertThat(sentWithin(FULL_USE)).isGreaterThanOrEqualTo(FULL_USE - 1);
  }

  @Test
  void oneThatTurnsTheFirstOfThemAwayIsLeftAloneAgain() {
    request(UPSTREAM, 1_000);
    nowMillis += 1_000;
    assertThat(sentWithin(1)).isEqualTo(1);

    request(UPSTREAM, 2_000);

    assertThat(sentWithin(1_999)).isZero();
  }

  @Test
  void eachStartHasTimesOfItsOwn() {
    UpstreamRecord next =
        new UpstreamRecord("u1", 7, "service", "127.0.0.1", 1, "zone", 8, false, 0);
    request(UPSTREAM, 60_000);

    assertThat(backoffs.admits(upstream(2))).isTrue();
    assertThat(backoffs.admits(next)).isTrue();
    assertThat(backoffs.count()).isEqualTo(1);
  }

  @Test
  void whatIsOverIsNotKept() {
    for (int number = 0; number < 1_000; number++) {
      request(upstream(number), 100);
      nowMillis += 10;
    }

    assertThat(backoffs.kept()).isLessThan(200);
  }

  @Test
  void theWaitGrowsWithWhatGoesBefore() {
    request(UPSTREAM, 1_000);

    assertThat(backoffs.millisUntilAdmitted(UPSTREAM, 3)).isEqualTo(1_300);
  }

  @Test
  void oneLineTellsOfItsBeginAndOneOfItsEndHoweverOftenItIsAskedFor() {
    RecordedEvents events = new RecordedEvents();
    UpstreamBackoffs logged = new UpstreamBackoffs(clock, events.log());
    List<String> begun = new ArrayList<>();
    logged.onBegin(upstream -> begun.add(upstream.id()));

    for (int answer = 0; answer < 20; answer++) {
      logged.answered(UPSTREAM, BackoffStatement.requested(Duration.ofMillis(500)));
      logged.admits(UPSTREAM);
    }
    nowMillis += 500;
    logged.admits(UPSTREAM);
    nowMillis += 2_000;
    logged.admits(UPSTREAM);
    logged.answered(UPSTREAM, BackoffStatement.unreadable("soon"));
    logged.answered(UPSTREAM, BackoffStatement.unreadable("soon"));

    assertThat(begun).containsExactly("u1");
    assertThat(events.count("upstream-backoff")).isEqualTo(1);
    assertThat(events.count("upstream-backoff-ended")).isEqualTo(1);
    assertThat(events.count("upstream-backoff-unreadable")).isEqualTo(1);
  }

  /** Answers and times in any order, requests whenever one is admitted. */
  @Property(tries = 500)
  void nothingIsEverSentWithinATimeThatWasAskedForAndAllIsASecondAfterwards(
      @ForAll @Size(max = 30) List<@IntRange(max = 400) Integer> steps) {
    UpstreamBackoffs told = new UpstreamBackoffs(clock, EventLogs.silent());
    long endMillis = nowMillis;
    for (int step : steps) {
      long asked = step % 4 == 0 ? step * 10L : 0;
      if (asked > 0) {
        told.answered(UPSTREAM, BackoffStatement.requested(Duration.ofMillis(asked)));
        endMillis = Math.max(endMillis, nowMillis + asked);
      }
      for (int passed = 0; passed < step; passed += 5) {
        boolean admitted = told.admits(UPSTREAM);
        assertThat(admitted && nowMillis < endMillis).isFalse();
        assertThat(admitted || nowMillis < endMillis + UpstreamBackoffs.RETURN.toMillis()).isTrue();
        if (admitted) {
          told.sent(UPSTREAM);
        }
        nowMillis += 5;
      }
    }
  }

  private int sentWithin(long millis) {
    int sent = 0;
    for (long passed = 0; passed < millis; passed++) {
      nowMillis++;
      if (backoffs.admits(UPSTREAM)) {
        backoffs.sent(UPSTREAM);
        sent++;
      }
    }
    return sent;
  }

  private void request(UpstreamRecord upstream, long millis) {
    backoffs.answered(upstream, BackoffStatement.requested(Duration.ofMillis(millis)));
  }

  private static UpstreamRecord upstream(int number) {
    return new UpstreamRecord("u" + number, "service", "127.0.0.1", number, "zone", 8, false);
  }
}
