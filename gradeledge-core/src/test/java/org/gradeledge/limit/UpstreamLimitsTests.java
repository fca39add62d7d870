package org.gradeledge.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.RecordedEvents;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.Test;

class UpstreamLimitsTests {

  private static final UpstreamRecord UPSTREAM = upstream("u", 1);
  private static final String INCARNATION_ID = UPSTREAM.incarnationId();
  private static final String OTHER_BOX = "other";

  private long nowMillis = 100_000;
  private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
  private final List<UpstreamRecord> knownUpstreams = new ArrayList<>(List.of(UPSTREAM));
  private final RecordedEvents events = new RecordedEvents();
  private final UpstreamLimits limits =
      new UpstreamLimits(clock, events.log(), () -> knownUpstreams);
  private int changes;

  UpstreamLimitsTests() {
    limits.onChange(() -> changes++);
  }

  @Test
  void appliesLimitFromFirstAnswer() {
    answer(LimitAnnouncement.named(1.3), 50);

    assertThat(limits.limitOf(INCARNATION_ID)).hasValue(1.3);
    assertThat(changes).isEqualTo(1);
  }

  @Test
  void limitAppliesToOneIncarnation() {
    answer(LimitAnnouncement.named(1), 0);

    assertThat(limits.limitOf(upstream("u", 2).incarnationId())).isEmpty();
  }

  @Test
  void latestAnnouncedLimitApplies() {
    answer(LimitAnnouncement.named(1), 0);
    answer(LimitAnnouncement.named(7), 0);

    assertThat(limits.limitOf(INCARNATION_ID)).hasValue(7);
  }

  @Test
  void answerWithoutLimitToLaterRequestLiftsLimit() {
    answer(LimitAnnouncement.named(1), 0);
    advance(10);

    answer(LimitAnnouncement.NO_LIMIT, 5);

    assertThat(limits.limitOf(INCARNATION_ID)).isEmpty();
    assertThat(changes).isEqualTo(2);
  }

  @Test
  void answerWithoutLimitToEarlierRequestDoesNotLiftLimit() {
    answer(LimitAnnouncement.named(1), 0);
    advance(10);

    answer(LimitAnnouncement.NO_LIMIT, 200);

    assertThat(limits.limitOf(INCARNATION_ID)).hasValue(1);
  }

  @Test
  void ignoresAnswersWithoutReadableLimit() {
    answer(LimitAnnouncement.named(1), 0);
    advance(10);

    answer(LimitAnnouncement.NOTHING, 0);
    answer(LimitAnnouncement.unreadable("many"), 0);

    assertThat(limits.limitOf(INCARNATION_ID)).hasValue(1);
  }

  @Test
  void logsEachUnreadableTextOnce() {
    answer(LimitAnnouncement.unreadable("many"), 0);
    answer(LimitAnnouncement.unreadable("many"), 0);
    answer(LimitAnnouncement.unreadable("-1"), 0);

    assertThat(events.count("upstream-limit-unreadable")).isEqualTo(2);
  }

  @Test
  void doesNotLogSmallChanges() {
    for (int step = 0; step < 50; step++) {
      answer(LimitAnnouncement.named(1 + step % 2 * 0.1), 0);
    }
    answer(LimitAnnouncement.named(4), 0);

    assertThat(events.count("upstream-limit")).isEqualTo(2);
  }

  @Test
  void appliesLimitReportedByAnotherBox() {
    assertThat(merge(1_300, 20)).isTrue();

    assertThat(limits.limitOf(INCARNATION_ID)).hasValue(1.3);
    assertThat(changes).as("the box that received the answer reports the limit").isZero();
  }

  @Test
  void moreRecentReportApplies() {
    merge(1_000, 500);

    assertThat(merge(2_000, 900)).isFalse();
    assertThat(limits.limitOf(INCARNATION_ID)).hasValue(1);
    assertThat(merge(LimitReport.LIFTED, 100)).isTrue();
    assertThat(limits.limitOf(INCARNATION_ID)).isEmpty();
    assertThat(merge(1_000, 300)).isFalse();
    assertThat(limits.limitOf(INCARNATION_ID)).isEmpty();
  }

  @Test
  void repeatedReportKeepsItsAge() {
    merge(1_000, 0);
    advance(1_000);
    merge(1_000, 0);

    assertThat(limits.reports()).containsExactly(new LimitReport(INCARNATION_ID, 1_000, 1_000));
  }

  @Test
  void addsTransferTimeToAge() {
    limits.merge(OTHER_BOX, List.of(new LimitReport(INCARNATION_ID, 1_000, 100)), 250);

    assertThat(limits.reports()).containsExactly(new LimitReport(INCARNATION_ID, 1_000, 350));
  }

  @Test
  void reportsLiftedLimitForLimitedTime() {
    answer(LimitAnnouncement.named(1), 0);
    advance(10);
    answer(LimitAnnouncement.NO_LIMIT, 0);

    assertThat(limits.reports())
        .containsExactly(new LimitReport(INCARNATION_ID, LimitReport.LIFTED, 0));
    advance(10_000);
    assertThat(limits.reports()).isEmpty();
    assertThat(merge(1_000, 10_050)).as("an older report of the limit").isFalse();
  }

  @Test
  void removesLimitsOfUnknownUpstreams() {
    limits.merge(OTHER_BOX, List.of(new LimitReport("unknown", 1_000, 0)), 0);
    assertThat(limits.limitedCount()).isZero();
    answer(LimitAnnouncement.named(1), 0);

    knownUpstreams.clear();

    assertThat(limits.reports()).isEmpty();
    assertThat(limits.limitedCount()).isZero();
  }

  @Test
  void capsVeryLargeLimit() {
    answer(LimitAnnouncement.named(1e300), 0);

    assertThat(limits.limitOf(INCARNATION_ID).getAsDouble()).isBetween(1e8, 1e10);
  }

  private boolean merge(long requestsPer1000Seconds, long ageMillis) {
    return limits.merge(
        OTHER_BOX, List.of(new LimitReport(INCARNATION_ID, requestsPer1000Seconds, ageMillis)), 0);
  }

  private void answer(LimitAnnouncement announcement, long sentMillisAgo) {
    limits.onAnswer(
        UPSTREAM, clock.nanos() - TimeUnit.MILLISECONDS.toNanos(sentMillisAgo), announcement);
  }

  private void advance(long millis) {
    nowMillis += millis;
  }

  private static UpstreamRecord upstream(String id, long born) {
    return new UpstreamRecord(
        id, born, "service", "127.0.0.1", 1, "zone", 8, false, 0, Optional.empty());
  }
}
