package org.gradeledge.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Settings of a box that relays requests.
 *
 * @param box name of the box
 * @param zone availability zone of the box
 * @param weight capacity for work of other boxes, in hundredths of a core; relative to other boxes
 * @param callerAddress address for callers
 * @param readinessAddress address for readiness checks of the load balancer
 * @param peerAddress address for other boxes; identifies this box among them
 * @param tunnelAddress address for connections of other boxes to upstreams through this box
 * @param metricsAddress address for metrics
 * @param seeds addresses of some other boxes, possibly outdated
 * @param peerSecret secret shared by the boxes of a deployment
 * @param retryRatio retries allowed for each accepted request
 * @param retryAllowance additional retries allowed in a window
 * @param retryWindow length of a window
 * @param maxLeavingDelay time within which a leaving upstream must stop receiving new requests
 * @param gracePeriod time between the signal to stop and the end of the process
 * @since 0.2
 */
public record RelaySettings(
    String box,
    String zone,
    int weight,
    InetSocketAddress callerAddress,
    InetSocketAddress readinessAddress,
    InetSocketAddress peerAddress,
    InetSocketAddress tunnelAddress,
    Optional<InetSocketAddress> metricsAddress,
    List<String> seeds,
    String peerSecret,
    double retryRatio,
    double retryAllowance,
    Duration retryWindow,
    Duration maxLeavingDelay,
    Duration gracePeriod) {

  /** Creates settings with an immutable copy of the seeds. */
  public RelaySettings {
    seeds = List.copyOf(seeds);
  }

  @Override
  public String toString() {
    return "RelaySettings[box=" + box + ", zone=" + zone + "]";
  }
}
