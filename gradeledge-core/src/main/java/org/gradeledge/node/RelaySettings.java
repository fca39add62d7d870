package org.gradeledge.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Settings of a box that relays.
 *
 * @param box its name
 * @param zone its availability zone
 * @param strength how much work for others the box can bear beside its own, in hundredths of a
 *     core; boxes compare it with each other's
 * @param caller where callers connect
 * @param ready where the balancer asks whether the box is ready
 * @param peer where other boxes connect; this names the box among them
 * @param metrics where metrics are read
 * @param seeds addresses of some other boxes, which may be stale
 * @param peerSecret secret that the boxes of a deployment share
 * @param retryRatio requests that may be sent again for each one taken
 * @param retryAllowance requests that may be sent again besides, in a window
 * @param retryWindow length of a window
 * @param leavingBound within this an upstream that leaves must get no new work
 * @param grace time between the signal to stop and the end
 * @since 0.2
 */
public record RelaySettings(
    String box,
    String zone,
    int strength,
    InetSocketAddress caller,
    InetSocketAddress ready,
    InetSocketAddress peer,
    Optional<InetSocketAddress> metrics,
    List<String> seeds,
    String peerSecret,
    double retryRatio,
    double retryAllowance,
    Duration retryWindow,
    Duration leavingBound,
    Duration grace) {

  /** Copies the list. */
  public RelaySettings {
    seeds = List.copyOf(seeds);
  }

  @Override
  public String toString() {
    return "RelaySettings[box=" + box + ", zone=" + zone + "]";
  }
}
