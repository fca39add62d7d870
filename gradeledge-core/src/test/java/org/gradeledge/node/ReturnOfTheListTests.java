package org.gradeledge.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.LongRange;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.follow.TableFollower;

/**
 * Seen: new work reached an upstream that had said that it leaves, long after.
 *
 * <p>How it came about: it said so a moment before the list of upstreams was away, and its entry
 * lapsed meanwhile. When the list was back, each box kept the missing entry in use, as a living
 * upstream may not have renewed its own yet, until two seconds after its own first answered call;
 * and that call came up to 2.4 seconds after the return.
 *
 * <p>Cause: the time of grace ran from when the box happened to notice the return. Proof: the box
 * and its list in virtual time, over all lengths of the outage; logs of played days show the same
 * times.
 */
@Tag("known-red")
class ReturnOfTheListTests {

  /** A box that has reached the list again for so long must know what stands in it. */
  private static final long IN_TOUCH_MILLIS = 3_000;

  /** An upstream gets no new work later than this after the box has read that it is gone. */
  private static final Duration LEAVING_BOUND = Duration.ofSeconds(2);

  /** Living upstreams have renewed their entries by then. */
  private static final long RENEWED_MILLIS = 1_600;

  private static final long OUTAGE_BEGINS = 5_000;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final ListInVirtualTime list = new ListInVirtualTime(channel.eventLoop());
  private long now;

  @Property(tries = 300)
  void anUpstreamThatLeftDuringAnOutageIsOutOfUseOnceTheBoxIsInTouchAgain(
      @ForAll @LongRange(min = 1_500, max = 9_000) long outageMillis) {
    list.add("left");
    list.add("lives");
    follow();
    list.awayUntil(OUTAGE_BEGINS, OUTAGE_BEGINS + outageMillis);
    advanceTo(OUTAGE_BEGINS + 1);
    list.remove("left");
    list.remove("lives");
    advanceTo(OUTAGE_BEGINS + outageMillis);

    advance(RENEWED_MILLIS);
    list.add("lives");
    for (long after = RENEWED_MILLIS; after < IN_TOUCH_MILLIS; after += 10) {
      advance(10);
      assertThat(upstreams.isUsable("lives")).isTrue();
    }

    assertThat(upstreams.isUsable("left")).isFalse();
  }

  private void follow() {
    UpstreamTableListener listener =
        new UpstreamTableListener(
            upstreams,
            ListInVirtualTime::readRow,
            EventLogs.silent(),
            () -> {},
            channel.eventLoop());
    TableFollower follower =
        new TableFollower(
            "upstreams",
            list,
            listener,
            channel.eventLoop(),
            EventLogs.silent(),
            () -> Duration.ZERO,
            () -> LEAVING_BOUND.dividedBy(2));
    follower.start();
    advance(0);
  }

  private void advanceTo(long millis) {
    advance(millis - now);
  }

  private void advance(long millis) {
    for (long step = 0; step < millis; step++) {
      channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      now++;
      channel.runPendingTasks();
    }
    channel.runPendingTasks();
  }
}
