package org.gradeledge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/**
 * Guards against sending requests to an upstream that left shortly before an outage of the list:
 * its row expired during the outage and was kept in use long after the list was available again.
 */
class UpstreamTableOutageTests {

  /** Removals are confirmed this long after the end of an outage. */
  private static final long CONFIRMED_MILLIS = 3_000;

  private static final Duration MAX_LEAVING_DELAY = Duration.ofSeconds(2);

  /** Live upstreams have renewed their rows by then. */
  private static final long RENEWED_MILLIS = 1_600;

  private static final long OUTAGE_START_MILLIS = 5_000;

  @Property(tries = 300)
  void removesUpstreamThatLeftDuringOutage(
      @ForAll @LongRange(min = 1_500, max = 9_000) long outageMillis) {
    SimulatedBox box = afterOutage(outageMillis);

    box.advance(CONFIRMED_MILLIS);

    assertThat(box.isUsable("left")).isFalse();
  }

  @Property(tries = 300)
  void keepsUpstreamThatRenewsItsRowAfterOutage(
      @ForAll @LongRange(min = 1_500, max = 9_000) long outageMillis) {
    SimulatedBox box = afterOutage(outageMillis);

    box.advance(RENEWED_MILLIS);
    box.table().add("lives");

    for (long elapsed = RENEWED_MILLIS; elapsed < CONFIRMED_MILLIS; elapsed += 10) {
      box.advance(10);
      assertThat(box.isUsable("lives")).describedAs("%d ms after the return", elapsed).isTrue();
    }
  }

  /** Returns a box at the end of an outage in which the rows of two upstreams expired. */
  private static SimulatedBox afterOutage(long outageMillis) {
    SimulatedBox box = new SimulatedBox(MAX_LEAVING_DELAY);
    box.table().add("left");
    box.table().add("lives");
    box.follow();
    box.table().scheduleOutage(OUTAGE_START_MILLIS, OUTAGE_START_MILLIS + outageMillis);
    box.advance(OUTAGE_START_MILLIS + 1);
    box.table().remove("left");
    box.table().remove("lives");
    box.advance(outageMillis - 1);
    return box;
  }
}
