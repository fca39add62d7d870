package org.gradeledge.configuration;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A stage of a pipeline as defined in the pipeline file.
 *
 * @param name name, unique in the pipeline
 * @param kind type of work
 * @param after stages whose output is the input of this one; the preceding stage if absent
 * @param model required model, for kinds that use one
 * @param adapter adapter of the model
 * @param modelVersion version of the model
 * @param upstreams ids of the upstreams that can serve it
 * @param repeatable whether a call is safe to retry
 * @param deadlineShare fraction of the request deadline for this stage, above 0 and up to 1
 * @param concurrencyLimit maximum number of concurrent calls per box
 * @param maxTokens maximum number of tokens to generate
 * @param path request path of a plain service
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

  /** Validates required components. */
  public StageDefinition {
    Objects.requireNonNull(name, "name must be given");
    Objects.requireNonNull(kind, "kind must be given");
    upstreams = List.copyOf(upstreams);
  }

  /** Returns the maximum number of tokens to generate, or the default if not set. */
  public int maxTokensOrDefault() {
    return maxTokens.orElse(DEFAULT_MAX_TOKENS);
  }
}
