package org.gradeledge.configuration;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * One stage of a pipeline, as its file gives it.
 *
 * @param name unique in the pipeline
 * @param kind what the stage does
 * @param after stages whose output it takes; the one before it where absent
 * @param model model it needs, for kinds that need one
 * @param adapter adapter of that model
 * @param modelVersion version of that model
 * @param upstreams ids of the upstreams that may serve it
 * @param repeatable whether a call may be made again without harm
 * @param deadlineShare share of the whole deadline that this stage is given, above 0 and up to 1
 * @param concurrencyLimit most calls of this stage in progress on one box
 * @param maxTokens most tokens to generate
 * @param path path of the call at a plain service
 * @since 0.1
 */
public record StageDefinition(
    String name,
    StageKind kind,
    Optional<List<String>> after,
    Optional<String> model,
    Optional<String> adapter,
    Optional<String> modelVersion,
    List<String> upstreams,
    boolean repeatable,
    double deadlineShare,
    int concurrencyLimit,
    Optional<Integer> maxTokens,
    Optional<String> path) {

  private static final int DEFAULT_MAX_TOKENS = 64;

  /** Checks that every required part is there. */
  public StageDefinition {
    Objects.requireNonNull(name, "name must be given");
    Objects.requireNonNull(kind, "kind must be given");
    upstreams = List.copyOf(upstreams);
  }

  /** Returns the most tokens to generate, a small default where the file sets none. */
  public int maxTokensOrDefault() {
    return maxTokens.orElse(DEFAULT_MAX_TOKENS);
  }
}
