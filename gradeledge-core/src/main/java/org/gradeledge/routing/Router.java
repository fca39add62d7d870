package org.gradeledge.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gradeledge.configuration.PipelineFile;
import org.gradeledge.configuration.StageDefinition;

/**
 * Determines the upstreams that may serve a stage and lets the routing strategy select one at
 * dispatch.
 *
 * <p>Leaving upstreams are never selected. Ejected ones are excluded unless more than half of the
 * upstreams that are not leaving are ejected; in that case ejection is ignored. Thread-safe.
 *
 * @since 0.1
 */
public final class Router {

  private static final int MIN_HEALTHY_DIVISOR = 2;

  private final UpstreamDirectory directory;
  private final RoutingStrategy strategy;

  /** Creates a router that applies a strategy to the upstreams of a directory. */
  public Router(UpstreamDirectory directory, RoutingStrategy strategy) {
    this.directory = directory;
    this.strategy = strategy;
  }

  /**
   * Returns the upstream for a call, if there is any.
   *
   * @param tried ids that are selected again only if there is no other candidate
   */
  public Optional<UpstreamState> route(
      PipelineFile file, StageDefinition stage, Set<String> tried) {
    List<UpstreamState> notLeaving =
        stage.upstreams().stream()
            .flatMap(id -> file.findUpstream(id).stream())
            .map(directory::state)
            .filter(state -> !state.isLeaving())
            .toList();
    List<UpstreamState> healthy = withoutEjected(notLeaving);
    List<UpstreamState> untried =
        healthy.stream().filter(state -> !tried.contains(state.definition().id())).toList();
    List<UpstreamState> candidates = untried.isEmpty() ? healthy : untried;
    return candidates.isEmpty() ? Optional.empty() : Optional.of(strategy.choose(candidates));
  }

  private static List<UpstreamState> withoutEjected(List<UpstreamState> notLeaving) {
    List<UpstreamState> healthy = notLeaving.stream().filter(state -> !state.isEjected()).toList();
    return healthy.size() * MIN_HEALTHY_DIVISOR >= notLeaving.size() ? healthy : notLeaving;
  }
}
