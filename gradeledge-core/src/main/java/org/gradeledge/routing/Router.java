package org.gradeledge.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gradeledge.configuration.PipelineFile;
import org.gradeledge.configuration.StageDefinition;

/**
 * Finds the upstreams that may serve a stage and lets the strategy choose one, at dispatch.
 *
 * <p>Leaving upstreams are never chosen. Ejected ones are left out, but not below half of those
 * that are not leaving: past that floor, ejection is disregarded. Thread-safe.
 *
 * @since 0.1
 */
public final class Router {

  private static final int MIN_HEALTHY_DIVISOR = 2;

  private final UpstreamDirectory directory;
  private final RoutingStrategy strategy;

  /** Creates a router. */
  public Router(UpstreamDirectory directory, RoutingStrategy strategy) {
    this.directory = directory;
    this.strategy = strategy;
  }

  /**
   * Returns the upstream for a call, if there is any.
   *
   * @param tried ids not to choose again while there is another
   */
  public Optional<UpstreamState> route(
      PipelineFile file, StageDefinition stage, Set<String> tried) {
    List<UpstreamState> staying =
        stage.upstreams().stream()
            .flatMap(id -> file.upstream(id).stream())
            .map(directory::state)
            .filter(state -> !state.isLeaving())
            .toList();
    List<UpstreamState> healthy = withoutEjected(staying);
    List<UpstreamState> fresh =
        healthy.stream().filter(state -> !tried.contains(state.definition().id())).toList();
    List<UpstreamState> candidates = fresh.isEmpty() ? healthy : fresh;
    return candidates.isEmpty() ? Optional.empty() : Optional.of(strategy.choose(candidates));
  }

  private static List<UpstreamState> withoutEjected(List<UpstreamState> staying) {
    List<UpstreamState> healthy = staying.stream().filter(state -> !state.isEjected()).toList();
    return healthy.size() * MIN_HEALTHY_DIVISOR >= staying.size() ? healthy : staying;
  }
}
