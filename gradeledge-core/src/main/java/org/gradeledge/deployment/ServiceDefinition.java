package org.gradeledge.deployment;

import java.util.Optional;

/**
 * A service that upstreams belong to.
 *
 * @param name unique name
 * @param maxConnections connections that one upstream takes from all boxes together
 * @param batchLimits limits of calls, where it does stage work
 * @param kvCacheTokens tokens that one upstream has memory for, where it generates
 * @param coldStart what an upstream bears while it is cold, empty where it makes no difference
 * @since 0.2
 */
public record ServiceDefinition(
    String name,
    int maxConnections,
    Optional<BatchLimits> batchLimits,
    Optional<Long> kvCacheTokens,
    Optional<ColdStart> coldStart) {

  /** Creates a service whose upstreams are never cold. */
  public ServiceDefinition(
      String name, int maxConnections, Optional<BatchLimits> batch, Optional<Long> promptTokens) {
    this(name, maxConnections, batch, promptTokens, Optional.empty());
  }
}
