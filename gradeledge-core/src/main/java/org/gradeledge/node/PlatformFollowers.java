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
  private static final double UNSHARED_PAUSE_FACTOR = 0.5;

  private static final double FEW_BOXES_PAUSE_FACTOR = 0.2;
  private static final double READER_PAUSE_FACTOR = 0.35;

  /** Only a box that no news reaches any more depends on it. */
  private static final double NON_READER_PAUSE_FACTOR = 5;

  /**
   * Longest time between calls while the platform is away, of a box that others rely on: it must
   * notice the return within about a second, and judge the list two seconds later, before it counts
   * as in touch again.
   */
  static final Duration MAX_BACKOFF = Duration.ofMillis(300);

  /** The same of a box that hears of the return from others. */
  private static final Duration NON_READER_MAX_BACKOFF = Duration.ofMillis(600);

  /** So many that some are left where several are cut off, killed or turned away at once. */
  private static final int READER_COUNT = 6;

  /** Fewer boxes than this cannot rely on another one's look within half of the bound. */
  private static final int MIN_BOXES_SHARING_READS = 3;

  /** Verdicts seldom change, and boxes tell each other; a lost answer is noticed after this. */
  private static final Duration VERDICT_WAIT = Duration.ofSeconds(25);

  /** Boxes that are not readers look for what no other box has told. */
  private static final Duration VERDICT_PAUSE = Duration.ofMinutes(1);

  /** No request waits for this table: a box that cannot read it goes by what others tell. */
  private static final Duration VERDICT_MAX_BACKOFF = Duration.ofSeconds(2);

  private final Duration maxLeavingDelay;
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
    this.maxLeavingDelay = leavingBound;
    this.mesh = mesh;
    this.configurations =
        new TableFollower(
            "configuration",
            adapters.operatorTable(),
            new OperatorTableListener(
                adapters.operatorRowReader(), deployments, registry, loop, mesh::announceNow),
            loop,
            clock,
            events,
            new PollingIntervals(
                this::configurationWait, () -> CONFIGURATION_PAUSE, () -> NON_READER_MAX_BACKOFF));
    UpstreamTableListener listener =
        new UpstreamTableListener(
            registry,
            adapters.upstreamRowReader(),
            new UnreadableRowLog(events, onUnreadableRow),
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
            new PollingIntervals(this::verdictWait, this::verdictPause, () -> VERDICT_MAX_BACKOFF));
    listener.setReadAction(upstreams::pollNow);
    mesh.onNewUpstreamList(upstreams::pollNow);
    mesh.onListConfirmed(listener::onListConfirmed);
  }

  void start() {
    configurations.start();
    upstreams.start();
    verdicts.start();
  }

  /** Reads all tables anew after the machine was suspended. */
  void readAllAgain() {
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
    return Duration.ofMillis((long) (maxLeavingDelay.toMillis() * upstreamPauseFactor()));
  }

  private Duration upstreamBackoff() {
    return mesh.receivesDigests() && !isReader() ? NON_READER_MAX_BACKOFF : MAX_BACKOFF;
  }

  private boolean isReader() {
    return mesh.isAssigned("read-upstreams", READER_COUNT);
  }

  private double upstreamPauseFactor() {
    if (mesh.receivesDigests()) {
      return isReader() ? READER_PAUSE_FACTOR : NON_READER_PAUSE_FACTOR;
    }
    return mesh.aliveCount() < MIN_BOXES_SHARING_READS
        ? FEW_BOXES_PAUSE_FACTOR
        : UNSHARED_PAUSE_FACTOR;
  }
}
