package org.gradeledge.node;

import java.util.Optional;
import java.util.function.IntSupplier;
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.deployment.ServiceDefinition;
import org.gradeledge.discovery.UpstreamRecord;

/** The services of the configuration in force and what they allow a box. */
final class DeployedServices {

  private static final double USABLE_CONNECTION_SHARE = 0.9;
  private static final int MIN_CONNECTIONS = 3;

  private final DeploymentRegistry deployments;
  private final IntSupplier boxCount;

  DeployedServices(DeploymentRegistry deployments, IntSupplier boxCount) {
    this.deployments = deployments;
    this.boxCount = boxCount;
  }

  Optional<ServiceDefinition> find(String name) {
    return deployments.current().flatMap(deployment -> deployment.service(name));
  }

  /** Returns how many connections this box may open to an upstream. */
  int connectionLimit(UpstreamRecord upstream) {
    int boxes = boxCount.getAsInt();
    int limit = find(upstream.service()).map(ServiceDefinition::maxConnections).orElse(boxes);
    return Math.max(MIN_CONNECTIONS, (int) (limit * USABLE_CONNECTION_SHARE / boxes));
  }

  /** Returns the memory of an upstream for cached prompts in tokens, 0 if it is not known. */
  long kvCacheTokens(UpstreamRecord upstream) {
    return find(upstream.service()).flatMap(ServiceDefinition::kvCacheTokens).orElse(0L);
  }
}
