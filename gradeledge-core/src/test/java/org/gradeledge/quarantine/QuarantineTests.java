package org.gradeledge.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

class QuarantineTests {

  private static final RequestFingerprint GUILTY = new RequestFingerprint(1, 1, 11);
  private static final RequestFingerprint INNOCENT = new RequestFingerprint(2, 2, 22);

  private long now = TimeUnit.DAYS.toNanos(1);
  private final Quarantine quarantine = new Quarantine(() -> now);

  @Test
  void theThirdUpstreamThatEndsHoldsTheRequestBack() {
    List<Verdict> verdicts = new ArrayList<>();
    quarantine.onVerdict(verdicts::add);

    end(GUILTY, "a", "b");
    assertThat(quarantine.bars(GUILTY)).isFalse();
    assertThat(quarantine.endsUnder(GUILTY)).isEqualTo(2);
    end(GUILTY, "c");

    assertThat(quarantine.bars(GUILTY)).isTrue();
    assertThat(quarantine.bars(INNOCENT)).isFalse();
    assertThat(verdicts).hasSize(1);
    assertThat(verdicts.get(0).starts()).containsExactly("a", "b", "c");
    assertThat(verdicts.get(0).decidedHere()).isTrue();
  }

  @Test
  void oneUpstreamThatTookAlongSeveralCopiesCountsOnce() {
    end(GUILTY, "a", "a", "a");

    assertThat(quarantine.endsUnder(GUILTY)).isEqualTo(1);
  }

  @Test
  void aWholeAnswerClearsARequest() {
    end(INNOCENT, "a", "b");
    pass(10);
    quarantine.answered(INNOCENT);
    pass(10);
    end(INNOCENT, "c", "d");

    assertThat(quarantine.endsUnder(INNOCENT)).isEqualTo(2);
    assertThat(quarantine.bars(INNOCENT)).isFalse();
  }

  @Test
  void whatEndedUnderAHeldBackRequestBlamesNobodyElse() {
    end(GUILTY, "a", "b", "c", "d");
    end(INNOCENT, "a", "b", "c");

    assertThat(quarantine.bars(GUILTY)).isTrue();
    assertThat(quarantine.bars(INNOCENT)).isFalse();
  }

  @Test
  void aRequestThatWasHeldBackBesideTheGuiltyOneIsLetGoOnceThatIsKnown() {
    List<RequestFingerprint> released = new ArrayList<>();
    quarantine.onRelease(released::add);
    end(INNOCENT, "a", "b", "c");
    assertThat(quarantine.bars(INNOCENT)).isTrue();

    end(GUILTY, "a", "b", "c", "d");

    assertThat(quarantine.bars(GUILTY)).isTrue();
    assertThat(released).containsExactly(INNOCENT);
  }

  @Test
  void twoGuiltyRequestsThatOnceRanTogetherAreBothHeldBack() {
    RequestFingerprint other = new RequestFingerprint(3, 3, 33);
    end(GUILTY, "a", "b", "c");
    end(other, "c", "d", "e", "f");

    assertThat(quarantine.bars(GUILTY)).isTrue();
    assertThat(quarantine.bars(other)).isTrue();
  }

  /** A box that is cut off takes all upstreams to have ended; the others hear them. */
  @Test
  void anUpstreamThatIsHeardLaterBlamesNobody() {
    end(INNOCENT, "a", "b", "c");
    pass(Quarantine.LATE_BYTES.toMillis());
    quarantine.heardFrom("b");
    assertThat(quarantine.bars(INNOCENT)).isTrue();

    pass(1);
    quarantine.heardFrom("b");

    assertThat(quarantine.bars(INNOCENT)).isFalse();
    assertThat(quarantine.endsUnder(INNOCENT)).isEqualTo(2);
  }

  @Test
  void onlyRequestsOfAKnownShapeNeedALook() {
    assertThat(quarantine.knowsShape(GUILTY.shape())).isFalse();
    end(GUILTY, "a");
    assertThat(quarantine.knowsShape(GUILTY.shape())).isTrue();
    assertThat(quarantine.knowsShape(INNOCENT.shape())).isFalse();

    pass(1);
    quarantine.answered(GUILTY);

    assertThat(quarantine.knowsShape(GUILTY.shape())).isFalse();
  }

  @Test
  void endsThatLedToNoVerdictAreForgottenAndVerdictsAreNot() {
    end(GUILTY, "a", "b", "c");
    end(INNOCENT, "d", "e");
    pass(Suspects.KEPT.toMillis() + 1);

    end(new RequestFingerprint(9, 9, 9), "x");

    assertThat(quarantine.endsUnder(INNOCENT)).isZero();
    assertThat(quarantine.bars(GUILTY)).isTrue();
  }

  /** An upstream takes hundreds along; the one that is looked for must not be lost among them. */
  @Test
  void manyThatWereSeenOnceDoNotDriveOutWhatWasSeenTwice() {
    end(GUILTY, "a", "b");
    for (int number = 0; number < 3 * Suspects.MOST_REQUESTS; number++) {
      pass(1);
      end(new RequestFingerprint(number, 7, number), "b");
    }
    end(GUILTY, "c");

    assertThat(quarantine.bars(GUILTY)).isTrue();
    assertThat(quarantine.all().reports()).hasSizeLessThanOrEqualTo(Suspects.MOST_REQUESTS);
  }

  /** Whoever saw which end, and however the news travels, all boxes come to the same verdict. */
  @Property(tries = 300, shrinking = ShrinkingMode.OFF)
  void newsInAnyOrderAndAnyNumberOfTimesLeadsToTheSameVerdict(@ForAll long seed) {
    Random random = new Random(seed);
    List<Quarantine> boxes = new ArrayList<>();
    for (int box = 0; box < 4; box++) {
      boxes.add(new Quarantine(() -> now));
    }
    int ends = 1 + random.nextInt(6);
    for (int end = 0; end < ends; end++) {
      boxes.get(random.nextInt(4)).endedUnder(GUILTY, "start-" + end);
      boxes.get(random.nextInt(4)).endedUnder(INNOCENT, "start-" + random.nextInt(2));
    }
    List<SuspectNews> news = new ArrayList<>();
    boxes.forEach(box -> news.addAll(List.of(box.all(), box.all(), box.takeNews())));
    for (Quarantine box : boxes) {
      Collections.shuffle(news, random);
      news.forEach(box::merge);
    }

    for (Quarantine box : boxes) {
      assertThat(box.bars(GUILTY)).isEqualTo(ends >= Quarantine.ENDS_OF_VERDICT);
      assertThat(box.bars(INNOCENT)).isFalse();
      assertThat(box.digest()).isEqualTo(boxes.get(0).digest());
    }
  }

  @Test
  void whatIsToldOnceMoreIsNoNews() {
    end(GUILTY, "a", "b");
    Quarantine other = new Quarantine(() -> now);

    assertThat(other.merge(quarantine.takeNews()).isEmpty()).isFalse();

    assertThat(quarantine.takeNews().isEmpty()).isTrue();
    assertThat(other.merge(quarantine.all()).isEmpty()).isTrue();
    assertThat(other.takeNews().isEmpty()).isTrue();
  }

  /** The store tells a verdict of before all boxes were lost. */
  @Test
  void aVerdictThatIsToldHolds() {
    SuspectReport report =
        new SuspectReport(
            GUILTY,
            List.of(
                new EndReport("a", 5, false),
                new EndReport("b", 5, false),
                new EndReport("c", 5, false)),
            true);
    List<Verdict> verdicts = new ArrayList<>();
    quarantine.onVerdict(verdicts::add);

    quarantine.merge(new SuspectNews(List.of(report), List.of()));

    assertThat(quarantine.bars(GUILTY)).isTrue();
    assertThat(verdicts).extracting(Verdict::decidedHere).containsExactly(false);
  }

  @Test
  void whatIsLiftedAtOneBoxIsLiftedAtAll() {
    end(GUILTY, "a", "b", "c");
    Quarantine other = new Quarantine(() -> now);
    other.merge(quarantine.takeNews());
    pass(200);

    other.lift(GUILTY);
    quarantine.merge(other.takeNews());
    pass(200);
    other.merge(quarantine.all());

    assertThat(quarantine.bars(GUILTY)).isFalse();
    assertThat(other.bars(GUILTY)).isFalse();
  }

  private void end(RequestFingerprint fingerprint, String... starts) {
    for (String start : starts) {
      quarantine.endedUnder(fingerprint, start);
    }
  }

  private void pass(long millis) {
    now += TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
