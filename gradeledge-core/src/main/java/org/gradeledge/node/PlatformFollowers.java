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
 * Follows the tables of the platform. The polling rate depends on how many other boxes read the
 * tables and forward changes, as boxes in a large deployment receive most changes in digests.
 * Confined to the event loop.
 */
final class PlatformFollowers {

  /** Longest wait of a call for a new configuration; bounds how late a lost answer is noticed. */
  private static final Duration CONFIGURATION_WAIT = Duration.ofMillis(2_500);

  /** Longest wait while digests also announce new configurations. */
  private static final Duration LONG_CONFIGURATION_WAIT = Duration.ofSeconds(25);

  /** Combines configuration changes in quick succession into one read. */
  private static final Duration CONFIGURATION_PAUSE = Duration.ofMillis(60);

  /** Pauses between reads of the list of upstreams, as factors of the maximum leaving delay. */
  private static final double UNSHARED_PAUSE_FACTOR = 0.5;

  private static final double FEW_BOXES_PAUSE_FACTOR = 0.2;
  private static final double READER_PAUSE_FACTOR = 0.35;

  /** Safety net in case digests stop reaching this box. */
  private static final double NON_READER_PAUSE_FACTOR = 5;

  /**
   * Longest pause between calls of a reader while the platform is unavailable. Other boxes rely on
   * readers to notice its return and to re-evaluate the list of upstreams in time.
   */
  static final Duration MAX_BACKOFF = Duration.ofMillis(300);

  /** Longest pause of a box that other boxes inform when the platform is available again. */
  private static final Duration NON_READER_MAX_BACKOFF = Duration.ofMillis(600);

  /** Enough readers to tolerate the simultaneous failure of several. */
  private static final int READER_COUNT = 6;

  /** With fewer boxes, reads cannot be shared within half of the maximum leaving delay. */
  private static final int MIN_BOXES_SHARING_READS = 3;

  /** Longest wait of a call for a new verdict; bounds how late a lost answer is noticed. */
  private static final Duration VERDICT_WAIT = Duration.ofSeconds(25);

  /** Pause between reads of verdicts by boxes that are not readers. */
  private static final Duration VERDICT_PAUSE = Duration.ofMinutes(1);

  /** Longest pause between calls for verdicts; boxes also forward verdicts to each other. */
  private static final Duration VERDICT_MAX_BACKOFF = Duration.ofSeconds(2);

  private final Duration maxLeavingDelay;
  private final BoxMesh mesh;
  private final TableFollower configurations;
  private final TableFollower upstreams;
  private final TableFollower verdicts;

  PlatformFollowers(
      RelayAdapters adapters,
      TableListener verdictListener,
      Duration maxLeavingDelay,
      BoxMesh mesh,
      DeploymentRegistry deployments,
      UpstreamRegistry registry,
      EventLoop loop,
      MonotonicClock clock,
      EventLog events,
      Runnable unreadableRowListener) {
    this.maxLeavingDelay = maxLeavingDelay;
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
            new UnreadableRowLog(events, unreadableRowListener),
            mesh::announceNow,
            loop,
            clock,
            maxLeavingDelay);
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

  /** Reads all tables again after the machine was suspended. */
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

  /** Returns the pause between reads of upstreams, longer for boxes that receive digests. */
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
