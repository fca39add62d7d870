package org.gradeledge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The list of upstreams comes back as an older copy of itself, in virtual time. */
class RestoredUpstreamTableTests {

  private static final Duration MAX_LEAVING_DELAY = Duration.ofSeconds(2);

  /** The list is that of the copy's era within a second. */
  private static final long APPLIED_MILLIS = 1_300;

  /** What lives has written its entry again by then. */
  private static final long RENEWED_MILLIS = 1_600;

  /** What is missing by then is gone. */
  private static final long CONFIRMED_MILLIS = 3_500;

  private final SimulatedBox box = new SimulatedBox(MAX_LEAVING_DELAY);

  @BeforeEach
  void startBox() {
    for (int change = 0; change < 100; change++) {
      box.table().add("a");
    }
    box.follow();
    box.advance(3_000);
  }

  @Test
  void appliesChangesOfRestoredTableWithLowerVersions() {
    box.table().restoreBackup(3, "a");
    box.table().add("b");

    box.advance(APPLIED_MILLIS);

    assertThat(box.isUsable("b")).isTrue();
  }

  @Test
  void keepsUpstreamMissingFromBackupUntilItIsRewritten() {
    box.table().add("younger");
    box.advance(2_000);
    box.table().restoreBackup(3, "a");

    for (long after = 0; after < CONFIRMED_MILLIS; after += 10) {
      if (after == RENEWED_MILLIS) {
        box.table().add("younger");
      }
      box.advance(10);
      assertThat(box.isUsable("younger")).describedAs("%d ms after", after).isTrue();
    }
  }

  @Test
  void removesUpstreamThatIsNotRewritten() {
    box.table().add("younger");
    box.advance(2_000);
    box.table().restoreBackup(3, "a");

    box.advance(CONFIRMED_MILLIS);

    assertThat(box.isUsable("younger")).isFalse();
    assertThat(box.isUsable("a")).isTrue();
  }

  @Test
  void doesNotUseRemovedUpstreamOfBackup() {
    box.table().add("gone");
    box.advance(2_000);
    box.table().remove("gone");
    box.advance(2_000);
    assertThat(box.isUsable("gone")).isFalse();
    box.table().restoreBackup(3, "a", "gone");

    for (long after = 0; after < RENEWED_MILLIS; after += 10) {
      box.advance(10);
      assertThat(box.isUsable("gone")).describedAs("%d ms after", after).isFalse();
    }
    box.table().remove("gone");
    box.advance(CONFIRMED_MILLIS);
    assertThat(box.isUsable("gone")).isFalse();
  }

  @Test
  void usesLapsedUpstreamOnceItIsRewritten() {
    box.table().add("lapsed");
    box.advance(2_000);
    box.table().remove("lapsed");
    box.advance(2_000);
    box.table().restoreBackup(3, "a", "lapsed");
    box.advance(APPLIED_MILLIS);

    box.table().add("lapsed");
    box.advance(APPLIED_MILLIS);

    assertThat(box.isUsable("lapsed")).isTrue();
  }

  @Test
  void usesRestoredUpstreamOnceListIsTrusted() {
    box.table().add("quiet");
    box.advance(2_000);
    box.table().remove("quiet");
    box.advance(2_000);
    box.table().restoreBackup(3, "a", "quiet");

    box.advance(CONFIRMED_MILLIS);

    assertThat(box.isUsable("quiet")).isTrue();
  }

  @Test
  void handlesTwoConsecutiveRestores() {
    box.table().add("younger");
    box.advance(2_000);
    box.table().restoreBackup(5, "a");
    box.advance(1_500);
    box.table().restoreBackup(3, "a");
    box.advance(1_000);
    assertThat(box.isUsable("younger")).isTrue();
    box.table().add("younger");

    box.advance(CONFIRMED_MILLIS);

    assertThat(box.isUsable("younger")).isTrue();
  }

  @Test
  void makesAtMostTwoAdditionalCallsPerRestore() {
    int before = box.table().callCount();
    box.advance(5_000);
    int usual = box.table().callCount() - before;

    box.table().restoreBackup(3, "a");
    int then = box.table().callCount();
    box.advance(5_000);

    assertThat(box.table().callCount() - then).isLessThanOrEqualTo(usual + 2);
  }
}
