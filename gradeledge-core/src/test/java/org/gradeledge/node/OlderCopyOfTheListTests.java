package org.gradeledge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The list of upstreams comes back as an older copy of itself, in virtual time. */
class OlderCopyOfTheListTests {

  private static final Duration LEAVING_BOUND = Duration.ofSeconds(2);

  /** The list is that of the copy's era within a second. */
  private static final long TAKEN_MILLIS = 1_300;

  /** What lives has written its entry again by then. */
  private static final long RENEWED_MILLIS = 1_600;

  /** What is missing by then is gone. */
  private static final long JUDGED_MILLIS = 3_500;

  private final BoxInVirtualTime box = new BoxInVirtualTime(LEAVING_BOUND);

  @BeforeEach
  void follow() {
    for (int change = 0; change < 100; change++) {
      box.list().add("a");
    }
    box.follow();
    box.advance(3_000);
  }

  @Test
  void whatIsWrittenAfterwardsIsTakenInThoughItsVersionIsLower() {
    box.list().comeBackAs(3, "a");
    box.list().add("b");

    box.advance(TAKEN_MILLIS);

    assertThat(box.uses("b")).isTrue();
  }

  @Test
  void anEntryThatTheCopyLacksIsInUseAllTheTimeWhereItIsWrittenAgain() {
    box.list().add("younger");
    box.advance(2_000);
    box.list().comeBackAs(3, "a");

    for (long after = 0; after < JUDGED_MILLIS; after += 10) {
      if (after == RENEWED_MILLIS) {
        box.list().add("younger");
      }
      box.advance(10);
      assertThat(box.uses("younger")).describedAs("%d ms after", after).isTrue();
    }
  }

  @Test
  void oneThatIsNotWrittenAgainIsGone() {
    box.list().add("younger");
    box.advance(2_000);
    box.list().comeBackAs(3, "a");

    box.advance(JUDGED_MILLIS);

    assertThat(box.uses("younger")).isFalse();
    assertThat(box.uses("a")).isTrue();
  }

  @Test
  void oneThatHadGoneIsNotUsedThoughTheCopyHasIt() {
    box.list().add("gone");
    box.advance(2_000);
    box.list().remove("gone");
    box.advance(2_000);
    assertThat(box.uses("gone")).isFalse();
    box.list().comeBackAs(3, "a", "gone");

    for (long after = 0; after < RENEWED_MILLIS; after += 10) {
      box.advance(10);
      assertThat(box.uses("gone")).describedAs("%d ms after", after).isFalse();
    }
    box.list().remove("gone");
    box.advance(JUDGED_MILLIS);
    assertThat(box.uses("gone")).isFalse();
  }

  @Test
  void oneThatHadOnlyLapsedAndWritesItsEntryAnewIsUsedAtOnce() {
    box.list().add("lapsed");
    box.advance(2_000);
    box.list().remove("lapsed");
    box.advance(2_000);
    box.list().comeBackAs(3, "a", "lapsed");
    box.advance(TAKEN_MILLIS);

    box.list().add("lapsed");
    box.advance(TAKEN_MILLIS);

    assertThat(box.uses("lapsed")).isTrue();
  }

  @Test
  void oneThatStandsThereAllTheTimeIsUsedOnceTheListCanBeTrusted() {
    box.list().add("quiet");
    box.advance(2_000);
    box.list().remove("quiet");
    box.advance(2_000);
    box.list().comeBackAs(3, "a", "quiet");

    box.advance(JUDGED_MILLIS);

    assertThat(box.uses("quiet")).isTrue();
  }

  @Test
  void twoDrillsInARowAreAsOne() {
    box.list().add("younger");
    box.advance(2_000);
    box.list().comeBackAs(5, "a");
    box.advance(1_500);
    box.list().comeBackAs(3, "a");
    box.advance(1_000);
    assertThat(box.uses("younger")).isTrue();
    box.list().add("younger");

    box.advance(JUDGED_MILLIS);

    assertThat(box.uses("younger")).isTrue();
  }

  @Test
  void aDrillCostsOneReadingAndOneLookMore() {
    int before = box.list().calls();
    box.advance(5_000);
    int usual = box.list().calls() - before;

    box.list().comeBackAs(3, "a");
    int then = box.list().calls();
    box.advance(5_000);

    assertThat(box.list().calls() - then).isLessThanOrEqualTo(usual + 2);
  }
}
