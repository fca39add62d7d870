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

/** An upstream comes back cold, and every box would choose it at once. */
class ColdUpstreamsTests {

  private static final double PER_SECOND = 6.7;
  private static final double OVERAGE = 1.5;
  private static final double SLACK = 5;
  private static final long STEP_MILLIS = 10;
  private static final long COLD_MILLIS = 6_000;
  private static final Duration LONG_AGO = Duration.ofSeconds(10);

  private static final UpstreamRecord COLD =
      new UpstreamRecord("id", 0, "service", "127.0.0.1", 1, "zone", 24, false, COLD_MILLIS);

  private long nowNanos;
  private final MonotonicClock clock = () -> nowNanos;
  private int heard = 40;

  @Property(tries = 60, shrinking = ShrinkingMode.OFF)
  void allBoxesTogetherStayUnderTheBoundInEachSecond(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 530) int count) {
    heard = count;
    List<ColdUpstreams> boxes = boxes(count, new Random(seed));
    advance(LONG_AGO);
    boxes.forEach(box -> box.told(COLD));

    List<Long> sent = sendAsMuchAsAllowed(boxes);

    assertThat((double) mostInOneSecond(sent)).isLessThanOrEqualTo(PER_SECOND * OVERAGE + SLACK);
  }

  @Property(tries = 30, shrinking = ShrinkingMode.OFF)
  void halvesThatDoNotHearEachOtherStayUnderTheBound(@ForAll long seed) {
    List<ColdUpstreams> boxes = boxes(80, new Random(seed));
    advance(LONG_AGO);
    boxes.forEach(box -> box.told(COLD));

    assertThat((double) mostInOneSecond(sendAsMuchAsAllowed(boxes)))
        .isLessThanOrEqualTo(PER_SECOND * OVERAGE + SLACK);
  }

  @Test
  void aBoxThatIsCutOffStillCountsTheBoxesThatItHeard() {
    ColdUpstreams box = boxes(1, new Random(1)).get(0);
    advance(LONG_AGO);
    box.told(COLD);
    box.admits(COLD);
    heard = 1;

    assertThat(sendAsMuchAsAllowed(List.of(box))).hasSizeLessThanOrEqualTo(1);
  }

  @Test
  void aBoxThatHasJustStartedSendsNothingToAColdUpstream() {
    ColdUpstreams box = boxes(1, new Random(1)).get(0);
    heard = 1;
    box.told(COLD);

    advance(Duration.ofMillis(2_900));

    assertThat(box.admits(COLD)).isFalse();
  }

  @Test
  void anUpstreamThatIsWarmTakesAllAgain() {
    ColdUpstreams box = boxes(1, new Random(1)).get(0);
    advance(LONG_AGO);
    box.told(COLD);
    box.sent(COLD);
    assertThat(box.admits(COLD)).isFalse();

    advance(Duration.ofMillis(COLD_MILLIS));

    assertThat(box.admits(COLD)).isTrue();
    box.sent(COLD);
    assertThat(box.admits(COLD)).isTrue();
  }

  @Test
  void upstreamsOfARestoredZoneCountAsJustStarted() {
    ColdUpstreams box = boxes(1, new Random(1)).get(0);
    advance(LONG_AGO);
    box.restored(List.of(COLD));
    box.sent(COLD);

    assertThat(box.admits(COLD)).isFalse();
    advance(Duration.ofSeconds(3));
    assertThat(box.admits(COLD)).isTrue();
  }

  @Test
  void aServiceWithoutALimitIsNeverHeldBack() {
    ColdUpstreams box =
        new ColdUpstreams(clock, new Random(1), () -> heard, service -> Optional.empty());
    box.told(COLD);
    box.sent(COLD);

    assertThat(box.admits(COLD)).isTrue();
  }

  private List<ColdUpstreams> boxes(int count, Random random) {
    Optional<ColdStart> limit = Optional.of(new ColdStart(PER_SECOND, Duration.ofSeconds(3)));
    return IntStream.range(0, count)
        .mapToObj(
            box ->
                new ColdUpstreams(
                    clock, new Random(random.nextLong()), () -> heard, service -> limit))
        .toList();
  }

  private List<Long> sendAsMuchAsAllowed(List<ColdUpstreams> boxes) {
    List<Long> sent = new ArrayList<>();
    for (long millis = 0; millis < COLD_MILLIS - STEP_MILLIS; millis += STEP_MILLIS) {
      for (ColdUpstreams box : boxes) {
        if (box.admits(COLD)) {
          box.sent(COLD);
          sent.add(millis);
        }
      }
      advance(Duration.ofMillis(STEP_MILLIS));
    }
    return sent;
  }

  private void advance(Duration time) {
    nowNanos += time.toNanos();
  }

  private static long mostInOneSecond(List<Long> sent) {
    return sent.stream()
        .mapToLong(
            from -> sent.stream().filter(each -> each >= from && each < from + 1_000).count())
        .max()
        .orElse(0);
  }
}
