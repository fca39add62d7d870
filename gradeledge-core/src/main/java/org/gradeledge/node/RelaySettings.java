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
 * @param weight how much work for others the box can bear beside its own, in hundredths of a core;
 *     boxes compare it with each other's
 * @param callerAddress where callers connect
 * @param readinessAddress where the balancer asks whether the box is ready
 * @param peerAddress where other boxes connect; this names the box among them
 * @param metricsAddress where metrics are read
 * @param seeds addresses of some other boxes, which may be stale
 * @param peerSecret secret that the boxes of a deployment share
 * @param retryRatio requests that may be sent again for each one taken
 * @param retryAllowance requests that may be sent again besides, in a window
 * @param retryWindow length of a window
 * @param maxLeavingDelay within this an upstream that leaves must get no new work
 * @param gracePeriod time between the signal to stop and the end
 * @since 0.2
 */
public record RelaySettings(
    String box,
    String zone,
    int weight,
    InetSocketAddress callerAddress,
    InetSocketAddress readinessAddress,
    InetSocketAddress peerAddress,
    Optional<InetSocketAddress> metricsAddress,
    List<String> seeds,
    String peerSecret,
    double retryRatio,
    double retryAllowance,
    Duration retryWindow,
    Duration maxLeavingDelay,
    Duration gracePeriod) {

  /** Copies the list. */
  public RelaySettings {
    seeds = List.copyOf(seeds);
  }

  @Override
  public String toString() {
    return "RelaySettings[box=" + box + ", zone=" + zone + "]";
  }
}
