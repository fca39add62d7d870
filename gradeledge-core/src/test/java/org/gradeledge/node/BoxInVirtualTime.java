package org.gradeledge.node;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.follow.PollingIntervals;
import org.gradeledge.follow.TableFollower;

/** What a box knows of the list of upstreams, in virtual time, paced as among few boxes. */
final class BoxInVirtualTime {

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final ListInVirtualTime list = new ListInVirtualTime(channel.eventLoop());
  private final TableFollower follower;
  private long now;

  BoxInVirtualTime(Duration leavingBound) {
    channel.freezeTime();
    UpstreamTableListener listener =
        new UpstreamTableListener(
            upstreams,
            ListInVirtualTime::readRow,
            new UnreadableRows(EventLogs.silent(), () -> {}),
            () -> {},
            channel.eventLoop(),
            () -> TimeUnit.MILLISECONDS.toNanos(now),
            leavingBound);
    follower =
        new TableFollower(
            "upstreams",
            list,
            listener,
            channel.eventLoop(),
            () -> TimeUnit.MILLISECONDS.toNanos(now),
            EventLogs.silent(),
            new PollingIntervals(
                () -> Duration.ZERO,
                () -> leavingBound.dividedBy(2),
                () -> PlatformFollowers.BACKOFF));
    listener.onLook(follower::pollNow);
  }

  void follow() {
    follower.start();
    channel.runPendingTasks();
  }

  ListInVirtualTime list() {
    return list;
  }

  boolean uses(String id) {
    return upstreams.usable("service").stream().anyMatch(each -> each.id().equals(id));
  }

  /** Lets time pass, a millisecond at a time. */
  void advance(long millis) {
    for (long step = 0; step < millis; step++) {
      now++;
      channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      channel.runPendingTasks();
    }
  }
}
