package org.gradeledge.deployment;

import java.util.Optional;

/**
 * A service that upstreams belong to.
 *
 * @param name unique name
 * @param maxConnections connections that one upstream takes from all boxes together
 * @param batch limits of calls, where it does stage work
 * @param promptTokens tokens that one upstream has memory for, where it generates
 * @since 0.2
 */
public record ServiceDefinition(
    String name, int maxConnections, Optional<BatchLimits> batch, Optional<Long> promptTokens) {}
