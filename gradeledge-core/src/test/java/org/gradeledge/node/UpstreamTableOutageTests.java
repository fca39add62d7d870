package org.gradeledge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/**
 * Seen: new work reached an upstream that had said that it leaves, long after.
 *
 * <p>How it came about: it said so a moment before the list of upstreams was away, and its entry
 * lapsed meanwhile. When the list was back, each box kept the missing entry in use, as a living
 * upstream may not have renewed its own yet, until two seconds after its own first answered call;
 * and that call came up to 2.4 seconds after the return.
 *
 * <p>Cause: the time of grace ran from when the box happened to notice the return, and was as long
 * as the bound itself; what it ended with was an answer of up to a second before. Proof: the box
 * and its list in virtual time, over all lengths of the outage; logs of played days show the same
 * times.
 */
class UpstreamTableOutageTests {

  /** A box that has reached the list again for so long must know what stands in it. */
  private static final long CONFIRMED_MILLIS = 3_000;

  /** An upstream gets no new work later than this after the box has read that it is gone. */
  private static final Duration MAX_LEAVING_DELAY = Duration.ofSeconds(2);

  /** Living upstreams have renewed their entries by then. */
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

    for (long after = RENEWED_MILLIS; after < CONFIRMED_MILLIS; after += 10) {
      box.advance(10);
      assertThat(box.isUsable("lives")).describedAs("%d ms after the return", after).isTrue();
    }
  }

  /** Returns a box at the moment of the list's return; two entries have lapsed meanwhile. */
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
