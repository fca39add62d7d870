package org.gradeledge.node;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.follow.PollingIntervals;
import org.gradeledge.follow.TableFollower;

/** What a box knows of the list of upstreams, in virtual time, paced as among few boxes. */
final class SimulatedBox {

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final SimulatedUpstreamTable table = new SimulatedUpstreamTable(channel.eventLoop());
  private final TableFollower follower;
  private long nowMillis;

  SimulatedBox(Duration leavingBound) {
    channel.freezeTime();
    UpstreamTableListener listener =
        new UpstreamTableListener(
            upstreams,
            SimulatedUpstreamTable::readRow,
            new UnreadableRowLog(EventLogs.silent(), () -> {}),
            () -> {},
            channel.eventLoop(),
            () -> TimeUnit.MILLISECONDS.toNanos(nowMillis),
            leavingBound);
    follower =
        new TableFollower(
            "upstreams",
            table,
            listener,
            channel.eventLoop(),
            () -> TimeUnit.MILLISECONDS.toNanos(nowMillis),
            EventLogs.silent(),
            new PollingIntervals(
                () -> Duration.ZERO,
                () -> leavingBound.dividedBy(2),
                () -> PlatformFollowers.MAX_BACKOFF));
    listener.setReadAction(follower::pollNow);
  }

  void follow() {
    follower.start();
    channel.runPendingTasks();
  }

  SimulatedUpstreamTable table() {
    return table;
  }

  boolean isUsable(String id) {
    return upstreams.usable("service").stream().anyMatch(each -> each.id().equals(id));
  }

  /** Lets time pass, a millisecond at a time. */
  void advance(long millis) {
    for (long step = 0; step < millis; step++) {
      nowMillis++;
      channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      channel.runPendingTasks();
    }
  }
}
