package org.gradeledge.deployment;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Configurations for tests. */
public final class TestDeployments {

  private TestDeployments() {}

  /** Returns a route with default limits. */
  public static RouteDefinition route(String host, String prefix, Repeatability repeatability) {
    return route(host, prefix, repeatability, List.of());
  }

  /** Returns a route with default limits and the given stages. */
  public static RouteDefinition route(
      String host, String prefix, Repeatability repeatability, List<StageWork> stages) {
    return route(host, prefix, repeatability, stages, 500);
  }

  /** Returns a route with the given stages and target time. */
  public static RouteDefinition route(
      String host,
      String prefix,
      Repeatability repeatability,
      List<StageWork> stages,
      long targetMillis) {
    return new RouteDefinition(
        host + prefix,
        host,
        prefix,
        repeatability,
        2_000,
        targetMillis,
        1,
        2,
        List.of(new WeightedService("service", 1)),
        stages,
        true);
  }

  /** Returns a configuration of the given routes. */
  public static Deployment of(long revision, RouteDefinition... routes) {
    return new Deployment(
        revision,
        new RouteTable(List.of(routes)),
        Map.of("service", new ServiceDefinition("service", 64, Optional.empty(), Optional.empty())),
        Map.of("known-key", new ClientAccount("account", Optional.of(0))),
        true,
        new CallerLimits(16_384, 1_000_000, 3_000, 15_000),
        new byte[] {(byte) revision});
  }
}
