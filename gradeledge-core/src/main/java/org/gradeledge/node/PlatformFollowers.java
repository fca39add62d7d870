package org.gradeledge.node;

import io.netty.channel.EventLoop;
import java.time.Duration;
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLog;
import org.gradeledge.follow.PollingIntervals;
import org.gradeledge.follow.TableFollower;
import org.gradeledge.follow.TableListener;
import org.gradeledge.mesh.BoxMesh;
import org.gradeledge.time.MonotonicClock;

/**
 * How a box follows the platform's tables: how often it calls depends on how many other boxes do so
 * and would tell it. Each call has its price, and among many boxes nearly all news comes by
 * digests. Confined to the event loop.
 */
final class PlatformFollowers {

  /** How long a call waits for a new configuration; a lost answer is noticed only after that. */
  private static final Duration CONFIGURATION_WAIT = Duration.ofMillis(2_500);

  /** The same where digests tell of a new configuration meanwhile. */
  private static final Duration LONG_CONFIGURATION_WAIT = Duration.ofSeconds(25);

  /** Keeps changes in quick succession from being read one by one. */
  private static final Duration CONFIGURATION_PAUSE = Duration.ofMillis(60);

  /** Parts of the bound within which an upstream that leaves must get no new work. */
  private static final double PAUSE_OF_FEW = 0.5;

  private static final double PAUSE_ALONE = 0.2;
  private static final double PAUSE_OF_READER = 0.35;

  /** Only a box that no news reaches any more depends on it. */
  private static final double PAUSE_OF_OTHERS = 5;

  /**
   * Longest time between calls while the platform is away, of a box that others rely on: it must
   * notice the return within about a second, and judge the list two seconds later, before it counts
   * as in touch again.
   */
  static final Duration BACKOFF = Duration.ofMillis(300);

  /** The same of a box that hears of the return from others. */
  private static final Duration BACKOFF_OF_OTHERS = Duration.ofMillis(600);

  /** So many that some are left where several are cut off, killed or turned away at once. */
  private static final int READERS = 6;

  /** Fewer boxes than this cannot rely on another one's look within half of the bound. */
  private static final int BOXES_THAT_SHARE = 3;

  /** Verdicts seldom change, and boxes tell each other; a lost answer is noticed after this. */
  private static final Duration VERDICT_WAIT = Duration.ofSeconds(25);

  /** Boxes that are not readers look for what no other box has told. */
  private static final Duration VERDICT_PAUSE = Duration.ofMinutes(1);

  /** No request waits for this table: a box that cannot read it goes by what others tell. */
  private static final Duration VERDICT_BACKOFF = Duration.ofSeconds(2);

  private final Duration leavingBound;
  private final BoxMesh mesh;
  private final TableFollower configurations;
  private final TableFollower upstreams;
  private final TableFollower verdicts;

  PlatformFollowers(
      RelayAdapters adapters,
      TableListener verdictListener,
      Duration leavingBound,
      BoxMesh mesh,
      DeploymentRegistry deployments,
      UpstreamRegistry registry,
      EventLoop loop,
      MonotonicClock clock,
      EventLog events,
      Runnable onUnreadableRow) {
    this.leavingBound = leavingBound;
    this.mesh = mesh;
    this.configurations =
        new TableFollower(
            "configuration",
            adapters.orderTable(),
            new OperatorTableListener(
                adapters.orders(), deployments, registry, loop, mesh::announceNow),
            loop,
            clock,
            events,
            new PollingIntervals(
                this::configurationWait, () -> CONFIGURATION_PAUSE, () -> BACKOFF_OF_OTHERS));
    UpstreamTableListener listener =
        new UpstreamTableListener(
            registry,
            adapters.upstreamReader(),
            new UnreadableRows(events, onUnreadableRow),
            mesh::announceNow,
            loop,
            clock,
            leavingBound);
    this.upstreams =
        new TableFollower(
            "upstreams",
            adapters.upstreamTable(),
            listener,
            loop,
            clock,
            events,
            new PollingIntervals(() -> Duration.ZERO, this::upstreamPause, this::upstreamBackoff));
    this.verdicts =
        new TableFollower(
            "verdicts",
            adapters.verdictTable(),
            verdictListener,
            loop,
            clock,
            events,
            new PollingIntervals(this::verdictWait, this::verdictPause, () -> VERDICT_BACKOFF));
    listener.onLook(upstreams::pollNow);
    mesh.onNewUpstreamList(upstreams::pollNow);
    mesh.onListConfirmed(listener::settled);
  }

  void start() {
    configurations.start();
    upstreams.start();
    verdicts.start();
  }

  /** Reads all tables anew after the machine was suspended. */
  void wokeUp() {
    configurations.onMachineResume();
    upstreams.onMachineResume();
    verdicts.onMachineResume();
  }

  private Duration verdictWait() {
    return isReader() ? VERDICT_WAIT : Duration.ZERO;
  }

  private Duration verdictPause() {
    return isReader() ? CONFIGURATION_PAUSE : VERDICT_PAUSE;
  }

  private Duration configurationWait() {
    return mesh.receivesDigests() ? LONG_CONFIGURATION_WAIT : CONFIGURATION_WAIT;
  }

  /** Boxes that hear each other share the reading, as each tells the others what it learned. */
  private Duration upstreamPause() {
    return Duration.ofMillis((long) (leavingBound.toMillis() * partOfBound()));
  }

  private Duration upstreamBackoff() {
    return mesh.receivesDigests() && !isReader() ? BACKOFF_OF_OTHERS : BACKOFF;
  }

  private boolean isReader() {
    return mesh.isAssigned("read-upstreams", READERS);
  }

  private double partOfBound() {
    if (mesh.receivesDigests()) {
      return isReader() ? PAUSE_OF_READER : PAUSE_OF_OTHERS;
    }
    return mesh.aliveCount() < BOXES_THAT_SHARE ? PAUSE_ALONE : PAUSE_OF_FEW;
  }
}
