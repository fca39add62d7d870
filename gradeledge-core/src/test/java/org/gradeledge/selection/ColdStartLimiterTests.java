package org.gradeledge.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.gradeledge.deployment.ColdStart;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.Test;

class ColdStartLimiterTests {

  private static final double REQUESTS_PER_SECOND = 6.7;
  private static final double LIMIT_FACTOR = 1.5;
  private static final double EXTRA_REQUESTS = 5;
  private static final long STEP_MILLIS = 10;
  private static final long COLD_MILLIS = 6_000;
  private static final Duration AFTER_PEER_DISCOVERY = Duration.ofSeconds(10);

  private static final UpstreamRecord COLD_UPSTREAM =
      new UpstreamRecord(
          "id", 0, "service", "127.0.0.1", 1, "zone", 24, false, COLD_MILLIS, Optional.empty());

  private long nowNanos;
  private final MonotonicClock clock = () -> nowNanos;
  private int boxCount = 40;

  @Property(tries = 60, shrinking = ShrinkingMode.OFF)
  void allBoxesTogetherStayWithinBoundInEachSecond(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 530) int count) {
    boxCount = count;
    List<ColdStartLimiter> boxes = createBoxes(count, new Random(seed));
    advance(AFTER_PEER_DISCOVERY);
    boxes.forEach(box -> box.onColdAnnounced(COLD_UPSTREAM));

    List<Long> sentMillis = sendAllAllowed(boxes);

    assertThat((double) maxInOneSecond(sentMillis))
        .isLessThanOrEqualTo(REQUESTS_PER_SECOND * LIMIT_FACTOR + EXTRA_REQUESTS);
  }

  @Property(tries = 30, shrinking = ShrinkingMode.OFF)
  void partitionedHalvesStayWithinBound(@ForAll long seed) {
    List<ColdStartLimiter> boxes = createBoxes(80, new Random(seed));
    advance(AFTER_PEER_DISCOVERY);
    boxes.forEach(box -> box.onColdAnnounced(COLD_UPSTREAM));

    assertThat((double) maxInOneSecond(sendAllAllowed(boxes)))
        .isLessThanOrEqualTo(REQUESTS_PER_SECOND * LIMIT_FACTOR + EXTRA_REQUESTS);
  }

  @Test
  void isolatedBoxStillCountsEarlierPeers() {
    ColdStartLimiter box = createBoxes(1, new Random(1)).get(0);
    advance(AFTER_PEER_DISCOVERY);
    box.onColdAnnounced(COLD_UPSTREAM);
    box.admits(COLD_UPSTREAM);
    boxCount = 1;

    assertThat(sendAllAllowed(List.of(box))).hasSizeLessThanOrEqualTo(1);
  }

  @Test
  void sendsNothingToColdUpstreamDuringPeerDiscovery() {
    ColdStartLimiter box = createBoxes(1, new Random(1)).get(0);
    boxCount = 1;
    box.onColdAnnounced(COLD_UPSTREAM);

    advance(Duration.ofMillis(2_900));

    assertThat(box.admits(COLD_UPSTREAM)).isFalse();
  }

  @Test
  void allowsAllRequestsOnceUpstreamIsWarm() {
    ColdStartLimiter box = createBoxes(1, new Random(1)).get(0);
    advance(AFTER_PEER_DISCOVERY);
    box.onColdAnnounced(COLD_UPSTREAM);
    box.recordSent(COLD_UPSTREAM);
    assertThat(box.admits(COLD_UPSTREAM)).isFalse();

    advance(Duration.ofMillis(COLD_MILLIS));

    assertThat(box.admits(COLD_UPSTREAM)).isTrue();
    box.recordSent(COLD_UPSTREAM);
    assertThat(box.admits(COLD_UPSTREAM)).isTrue();
  }

  @Test
  void restoredUpstreamsCountAsColdStarted() {
    ColdStartLimiter box = createBoxes(1, new Random(1)).get(0);
    advance(AFTER_PEER_DISCOVERY);
    box.onRestored(List.of(COLD_UPSTREAM));
    box.recordSent(COLD_UPSTREAM);

    assertThat(box.admits(COLD_UPSTREAM)).isFalse();
    advance(Duration.ofSeconds(3));
    assertThat(box.admits(COLD_UPSTREAM)).isTrue();
  }

  @Test
  void allowsAllRequestsOfServiceWithoutColdStartLimit() {
    ColdStartLimiter box =
        new ColdStartLimiter(clock, new Random(1), () -> boxCount, service -> Optional.empty());
    box.onColdAnnounced(COLD_UPSTREAM);
    box.recordSent(COLD_UPSTREAM);

    assertThat(box.admits(COLD_UPSTREAM)).isTrue();
  }

  private List<ColdStartLimiter> createBoxes(int count, Random random) {
    Optional<ColdStart> limit =
        Optional.of(new ColdStart(REQUESTS_PER_SECOND, Duration.ofSeconds(3)));
    return IntStream.range(0, count)
        .mapToObj(
            box ->
                new ColdStartLimiter(
                    clock, new Random(random.nextLong()), () -> boxCount, service -> limit))
        .toList();
  }

  private List<Long> sendAllAllowed(List<ColdStartLimiter> boxes) {
    List<Long> sentMillis = new ArrayList<>();
    for (long millis = 0; millis < COLD_MILLIS - STEP_MILLIS; millis += STEP_MILLIS) {
      for (ColdStartLimiter box : boxes) {
        if (box.admits(COLD_UPSTREAM)) {
          box.recordSent(COLD_UPSTREAM);
          sentMillis.add(millis);
        }
      }
      advance(Duration.ofMillis(STEP_MILLIS));
    }
    return sentMillis;
  }

  private void advance(Duration duration) {
    nowNanos += duration.toNanos();
  }

  private static long maxInOneSecond(List<Long> sentMillis) {
    return sentMillis.stream()
        .mapToLong(
            from -> sentMillis.stream().filter(each -> each >= from && each < from + 1_000).count())
        .max()
        .orElse(0);
  }
}
