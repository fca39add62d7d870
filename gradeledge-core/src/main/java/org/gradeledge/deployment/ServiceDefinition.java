package org.gradeledge.deployment;

import java.util.Optional;

/**
 * A service that is provided by a group of upstreams.
 *
 * @param name unique name
 * @param maxConnections maximum number of connections to one upstream from all boxes together
 * @param batchLimits limits of calls, if the service performs stage work
 * @param kvCacheTokens capacity of the KV cache of one upstream in tokens, if it generates text
 * @param coldStart rate limit of cold upstreams, if any
 * @since 0.2
 */
public record ServiceDefinition(
    String name,
    int maxConnections,
    Optional<BatchLimits> batchLimits,
    Optional<Long> kvCacheTokens,
    Optional<ColdStart> coldStart) {

  /** Creates a service without a limit for cold upstreams. */
  public ServiceDefinition(
      String name, int maxConnections, Optional<BatchLimits> batch, Optional<Long> promptTokens) {
    this(name, maxConnections, batch, promptTokens, Optional.empty());
  }
}
