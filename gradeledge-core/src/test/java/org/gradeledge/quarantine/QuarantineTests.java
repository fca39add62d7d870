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

  private static final RequestFingerprint CRASHING = new RequestFingerprint(1, 1, 11);
  private static final RequestFingerprint HARMLESS = new RequestFingerprint(2, 2, 22);

  private long now = TimeUnit.DAYS.toNanos(1);
  private final Quarantine quarantine = new Quarantine(() -> now);

  @Test
  void quarantinesRequestAfterThirdCrash() {
    List<QuarantineVerdict> verdicts = new ArrayList<>();
    quarantine.onVerdict(verdicts::add);

    recordCrashes(CRASHING, "a", "b");
    assertThat(quarantine.isQuarantined(CRASHING)).isFalse();
    assertThat(quarantine.crashCount(CRASHING)).isEqualTo(2);
    recordCrashes(CRASHING, "c");

    assertThat(quarantine.isQuarantined(CRASHING)).isTrue();
    assertThat(quarantine.isQuarantined(HARMLESS)).isFalse();
    assertThat(verdicts).hasSize(1);
    assertThat(verdicts.get(0).incarnationIds()).containsExactly("a", "b", "c");
    assertThat(verdicts.get(0).decidedLocally()).isTrue();
  }

  @Test
  void countsCrashOfOneIncarnationOnce() {
    recordCrashes(CRASHING, "a", "a", "a");

    assertThat(quarantine.crashCount(CRASHING)).isEqualTo(1);
  }

  @Test
  void completeAnswerWithdrawsCrashes() {
    recordCrashes(HARMLESS, "a", "b");
    advance(10);
    quarantine.recordSuccess(HARMLESS);
    advance(10);
    recordCrashes(HARMLESS, "c", "d");

    assertThat(quarantine.crashCount(HARMLESS)).isEqualTo(2);
    assertThat(quarantine.isQuarantined(HARMLESS)).isFalse();
  }

  @Test
  void crashesOfQuarantinedRequestDoNotCountAgainstOthers() {
    recordCrashes(CRASHING, "a", "b", "c", "d");
    recordCrashes(HARMLESS, "a", "b", "c");

    assertThat(quarantine.isQuarantined(CRASHING)).isTrue();
    assertThat(quarantine.isQuarantined(HARMLESS)).isFalse();
  }

  @Test
  void releasesRequestWhenAnotherOneExplainsItsCrashes() {
    List<RequestFingerprint> released = new ArrayList<>();
    quarantine.onRelease(released::add);
    recordCrashes(HARMLESS, "a", "b", "c");
    assertThat(quarantine.isQuarantined(HARMLESS)).isTrue();

    recordCrashes(CRASHING, "a", "b", "c", "d");

    assertThat(quarantine.isQuarantined(CRASHING)).isTrue();
    assertThat(released).containsExactly(HARMLESS);
  }

  @Test
  void quarantinesBothCrashingRequestsThatSharedOneCrash() {
    RequestFingerprint other = new RequestFingerprint(3, 3, 33);
    recordCrashes(CRASHING, "a", "b", "c");
    recordCrashes(other, "c", "d", "e", "f");

    assertThat(quarantine.isQuarantined(CRASHING)).isTrue();
    assertThat(quarantine.isQuarantined(other)).isTrue();
  }

  /**
   * A partitioned box records crashes of all upstreams; the other boxes still get answers from
   * them.
   */
  @Test
  void refutesCrashOfUpstreamThatAnswersLaterRequest() {
    recordCrashes(HARMLESS, "a", "b", "c");
    quarantine.recordAlive("b", now);
    assertThat(quarantine.isQuarantined(HARMLESS)).isTrue();

    advance(1);
    quarantine.recordAlive("b", now);

    assertThat(quarantine.isQuarantined(HARMLESS)).isFalse();
    assertThat(quarantine.crashCount(HARMLESS)).isEqualTo(2);
  }

  // Guards against releasing a crashing request by data that a paused box reads late.
  @Test
  void answerToRequestSentBeforeCrashDoesNotRefuteIt() {
    long sentNanos = now;
    advance(1);
    recordCrashes(HARMLESS, "a", "b", "c");
    advance(5_000);

    quarantine.recordAlive("b", sentNanos);

    assertThat(quarantine.isQuarantined(HARMLESS)).isTrue();
  }

  @Test
  void hasShapeHashOnlyWhileCrashesCount() {
    assertThat(quarantine.hasShapeHash(CRASHING.shapeHash())).isFalse();
    recordCrashes(CRASHING, "a");
    assertThat(quarantine.hasShapeHash(CRASHING.shapeHash())).isTrue();
    assertThat(quarantine.hasShapeHash(HARMLESS.shapeHash())).isFalse();

    advance(1);
    quarantine.recordSuccess(CRASHING);

    assertThat(quarantine.hasShapeHash(CRASHING.shapeHash())).isFalse();
  }

  @Test
  void evictsOldCrashesButKeepsVerdicts() {
    recordCrashes(CRASHING, "a", "b", "c");
    recordCrashes(HARMLESS, "d", "e");
    advance(SuspectRegistry.RETENTION.toMillis() + 1);

    recordCrashes(new RequestFingerprint(9, 9, 9), "x");

    assertThat(quarantine.crashCount(HARMLESS)).isZero();
    assertThat(quarantine.isQuarantined(CRASHING)).isTrue();
  }

  /**
   * Guards against evicting the crashing request in favor of the many requests that crashed once.
   */
  @Test
  void evictsRequestsWithFewestCrashesFirst() {
    recordCrashes(CRASHING, "a", "b");
    for (int number = 0; number < 3 * SuspectRegistry.MAX_REQUESTS; number++) {
      advance(1);
      recordCrashes(new RequestFingerprint(number, 7, number), "b");
    }
    recordCrashes(CRASHING, "c");

    assertThat(quarantine.isQuarantined(CRASHING)).isTrue();
    assertThat(quarantine.snapshot().reports())
        .hasSizeLessThanOrEqualTo(SuspectRegistry.MAX_REQUESTS);
  }

  @Property(tries = 300, shrinking = ShrinkingMode.OFF)
  void verdictIsIndependentOfOrderAndRepetitionOfUpdates(@ForAll long seed) {
    Random random = new Random(seed);
    List<Quarantine> boxes = new ArrayList<>();
    for (int box = 0; box < 4; box++) {
      boxes.add(new Quarantine(() -> now));
    }
    int crashes = 1 + random.nextInt(6);
    for (int crash = 0; crash < crashes; crash++) {
      boxes.get(random.nextInt(4)).recordCrash(CRASHING, "incarnation-" + crash);
      boxes.get(random.nextInt(4)).recordCrash(HARMLESS, "incarnation-" + random.nextInt(2));
    }
    List<SuspectUpdate> updates = new ArrayList<>();
    boxes.forEach(box -> updates.addAll(List.of(box.snapshot(), box.snapshot(), box.takeUpdate())));
    for (Quarantine box : boxes) {
      Collections.shuffle(updates, random);
      updates.forEach(box::merge);
    }

    for (Quarantine box : boxes) {
      assertThat(box.isQuarantined(CRASHING))
          .isEqualTo(crashes >= Quarantine.CRASHES_TO_QUARANTINE);
      assertThat(box.isQuarantined(HARMLESS)).isFalse();
      assertThat(box.digest()).isEqualTo(boxes.get(0).digest());
    }
  }

  @Test
  void mergingKnownUpdateReportsNoChange() {
    recordCrashes(CRASHING, "a", "b");
    Quarantine other = new Quarantine(() -> now);

    assertThat(other.merge(quarantine.takeUpdate()).isEmpty()).isFalse();

    assertThat(quarantine.takeUpdate().isEmpty()).isTrue();
    assertThat(other.merge(quarantine.snapshot()).isEmpty()).isTrue();
    assertThat(other.takeUpdate().isEmpty()).isTrue();
  }

  /** A stored verdict applies after a restart of all boxes. */
  @Test
  void appliesReportedVerdict() {
    SuspectReport report =
        new SuspectReport(
            CRASHING,
            List.of(
                new CrashReport("a", 5, false),
                new CrashReport("b", 5, false),
                new CrashReport("c", 5, false)),
            true);
    List<QuarantineVerdict> verdicts = new ArrayList<>();
    quarantine.onVerdict(verdicts::add);

    quarantine.merge(new SuspectUpdate(List.of(report), List.of()));

    assertThat(quarantine.isQuarantined(CRASHING)).isTrue();
    assertThat(verdicts).extracting(QuarantineVerdict::decidedLocally).containsExactly(false);
  }

  @Test
  void withdrawalAppliesToAllBoxes() {
    recordCrashes(CRASHING, "a", "b", "c");
    Quarantine other = new Quarantine(() -> now);
    other.merge(quarantine.takeUpdate());
    advance(200);

    other.withdrawCrashes(CRASHING);
    quarantine.merge(other.takeUpdate());
    advance(200);
    other.merge(quarantine.snapshot());

    assertThat(quarantine.isQuarantined(CRASHING)).isFalse();
    assertThat(other.isQuarantined(CRASHING)).isFalse();
  }

  private void recordCrashes(RequestFingerprint fingerprint, String... incarnationIds) {
    for (String incarnationId : incarnationIds) {
      quarantine.recordCrash(fingerprint, incarnationId);
    }
  }

  private void advance(long millis) {
    now += TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
