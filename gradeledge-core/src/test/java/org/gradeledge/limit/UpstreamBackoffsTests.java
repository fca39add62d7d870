package org.gradeledge.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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

class UpstreamBackoffsTests {

  private static final UpstreamRecord UPSTREAM = upstream(1);
  private static final int REQUESTS_AFTER_RAMP_UP = 200;

  private long nowMillis = 100_000;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
  private final UpstreamBackoffs backoffs = new UpstreamBackoffs(clock, EventLogs.silent());

  @Test
  void allowsAllRequestsWithoutBackoff() {
    assertThat(countSentWithin(100)).isEqualTo(100);
    assertThat(backoffs.millisUntilAdmitted(UPSTREAM, 50)).isZero();
    assertThat(backoffs.requestsPerSecond(UPSTREAM)).isInfinite();
  }

  @Test
  void sendsNothingDuringBackoff() {
    requestBackoff(UPSTREAM, 3_000);

    assertThat(backoffs.requestsPerSecond(UPSTREAM)).isZero();
    assertThat(backoffs.millisUntilAdmitted(UPSTREAM, 0)).isEqualTo(3_000);
    assertThat(countSentWithin(2_999)).isZero();
    assertThat(backoffs.skipped()).isEqualTo(2_999);
    assertThat(countSentWithin(1)).isEqualTo(1);
  }

  @Test
  void shorterBackoffDoesNotShortenEarlierOne() {
    requestBackoff(UPSTREAM, 3_000);
    nowMillis += 500;
    requestBackoff(UPSTREAM, 200);

    assertThat(countSentWithin(2_499)).isZero();
    assertThat(countSentWithin(1)).isEqualTo(1);
  }

  @Test
  void longerBackoffExtendsEarlierOne() {
    requestBackoff(UPSTREAM, 1_000);
    nowMillis += 500;
    requestBackoff(UPSTREAM, 2_000);

    assertThat(countSentWithin(1_999)).isZero();
    assertThat(countSentWithin(1)).isEqualTo(1);
  }

  @Test
  void answerWithoutBackoffDoesNotEndBackoff() {
    requestBackoff(UPSTREAM, 1_000);

    backoffs.onAnswer(UPSTREAM, BackoffAnnouncement.NOTHING);
    backoffs.onAnswer(UPSTREAM, BackoffAnnouncement.unreadable("soon"));

    assertThat(countSentWithin(999)).isZero();
  }

  @Test
  void ignoresBackoffOfZero() {
    requestBackoff(UPSTREAM, 0);

    assertThat(countSentWithin(10)).isEqualTo(10);
  }

  @Test
  void limitsBackoffToOneDay() {
    backoffs.onAnswer(UPSTREAM, BackoffAnnouncement.requested(Duration.ofSeconds(1_000_000_000)));

    assertThat(backoffs.millisUntilAdmitted(UPSTREAM, 0))
        .isEqualTo(UpstreamBackoffs.MAX_BACKOFF.toMillis());
  }

  @Test
  void rampsUpForOneSecondAfterBackoff() {
    requestBackoff(UPSTREAM, 1_000);
    nowMillis += 1_000;

    assertThat(countSentWithin(999)).isBetween(9, 11);
    assertThat(countSentWithin(REQUESTS_AFTER_RAMP_UP))
        .isGreaterThanOrEqualTo(REQUESTS_AFTER_RAMP_UP - 1);
  }

  @Test
  void backsOffAgainWhenFirstRequestIsRejected() {
    requestBackoff(UPSTREAM, 1_000);
    nowMillis += 1_000;
    assertThat(countSentWithin(1)).isEqualTo(1);

    requestBackoff(UPSTREAM, 2_000);

    assertThat(countSentWithin(1_999)).isZero();
  }

  @Test
  void backoffAppliesToOneIncarnation() {
    UpstreamRecord nextIncarnation =
        new UpstreamRecord(
            "u1", 7, "service", "127.0.0.1", 1, "zone", 8, false, 0, Optional.empty());
    requestBackoff(UPSTREAM, 60_000);

    assertThat(backoffs.admits(upstream(2))).isTrue();
    assertThat(backoffs.admits(nextIncarnation)).isTrue();
    assertThat(backoffs.activeCount()).isEqualTo(1);
  }

  @Test
  void removesExpiredBackoffs() {
    for (int number = 0; number < 1_000; number++) {
      requestBackoff(upstream(number), 100);
      nowMillis += 10;
    }

    assertThat(backoffs.trackedCount()).isLessThan(200);
  }

  @Test
  void waitGrowsWithRequestsSentBefore() {
    requestBackoff(UPSTREAM, 1_000);

    assertThat(backoffs.millisUntilAdmitted(UPSTREAM, 3)).isEqualTo(1_300);
  }

  @Test
  void logsStartAndEndOfBackoffOnce() {
    RecordedEvents events = new RecordedEvents();
    UpstreamBackoffs logging = new UpstreamBackoffs(clock, events.log());
    List<String> started = new ArrayList<>();
    logging.onBackoffStarted(upstream -> started.add(upstream.id()));

    for (int answer = 0; answer < 20; answer++) {
      logging.onAnswer(UPSTREAM, BackoffAnnouncement.requested(Duration.ofMillis(500)));
      logging.admits(UPSTREAM);
    }
    nowMillis += 500;
    logging.admits(UPSTREAM);
    nowMillis += 2_000;
    logging.admits(UPSTREAM);
    logging.onAnswer(UPSTREAM, BackoffAnnouncement.unreadable("soon"));
    logging.onAnswer(UPSTREAM, BackoffAnnouncement.unreadable("soon"));

    assertThat(started).containsExactly("u1");
    assertThat(events.count("upstream-backoff")).isEqualTo(1);
    assertThat(events.count("upstream-backoff-ended")).isEqualTo(1);
    assertThat(events.count("upstream-backoff-unreadable")).isEqualTo(1);
  }

  /** Random sequences of backoffs and pauses, with a request whenever one is admitted. */
  @Property(tries = 500)
  void sendsNothingDuringBackoffsAndEverythingAfterRampUp(
      @ForAll @Size(max = 30) List<@IntRange(max = 400) Integer> steps) {
    UpstreamBackoffs tested = new UpstreamBackoffs(clock, EventLogs.silent());
    long endMillis = nowMillis;
    for (int step : steps) {
      long backoffMillis = step % 4 == 0 ? step * 10L : 0;
      if (backoffMillis > 0) {
        tested.onAnswer(UPSTREAM, BackoffAnnouncement.requested(Duration.ofMillis(backoffMillis)));
        endMillis = Math.max(endMillis, nowMillis + backoffMillis);
      }
      for (int passed = 0; passed < step; passed += 5) {
        boolean admitted = tested.admits(UPSTREAM);
        assertThat(admitted && nowMillis < endMillis).isFalse();
        assertThat(admitted || nowMillis < endMillis + UpstreamBackoffs.RAMP_UP.toMillis())
            .isTrue();
        if (admitted) {
          tested.recordSent(UPSTREAM);
        }
        nowMillis += 5;
      }
    }
  }

  private int countSentWithin(long millis) {
    int sent = 0;
    for (long passed = 0; passed < millis; passed++) {
      nowMillis++;
      if (backoffs.admits(UPSTREAM)) {
        backoffs.recordSent(UPSTREAM);
        sent++;
      }
    }
    return sent;
  }

  private void requestBackoff(UpstreamRecord upstream, long millis) {
    backoffs.onAnswer(upstream, BackoffAnnouncement.requested(Duration.ofMillis(millis)));
  }

  private static UpstreamRecord upstream(int number) {
    return new UpstreamRecord("u" + number, "service", "127.0.0.1", number, "zone", 8, false);
  }
}
