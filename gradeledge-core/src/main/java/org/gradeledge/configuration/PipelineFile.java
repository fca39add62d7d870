package org.gradeledge.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A whole pipeline, as operators submit it.
 *
 * @param pipeline its name
 * @param stages stages in the order in which they run
 * @param accounts client accounts that may use it
 * @param upstreams upstreams that its stages may name
 * @param retryBudget share of extra attempts over first attempts, 0 to 1
 * @param resultRetentionMs how long results of non-repeatable requests are kept for asking again
 * @since 0.1
 */
public record PipelineFile(
    String pipeline,
    List<StageDefinition> stages,
    List<AccountDefinition> accounts,
    List<UpstreamDefinition> upstreams,
    Optional<Double> retryBudget,
    Optional<Long> resultRetentionMs) {

  private static final double DEFAULT_RETRY_BUDGET = 0.1;
  private static final Duration DEFAULT_RESULT_RETENTION = Duration.ofHours(1);

  /** Checks that every required part is there. */
  public PipelineFile {
    Objects.requireNonNull(pipeline, "pipeline must be given");
    stages = List.copyOf(stages);
    accounts = List.copyOf(accounts);
    upstreams = List.copyOf(upstreams);
  }

  /** Returns whether a request must run at most once because one of its stages must. */
  public boolean runsAtMostOnce() {
    return stages.stream().anyMatch(stage -> !stage.repeatable());
  }

  /** Returns the share of extra attempts over first attempts. */
  public double retryBudgetOrDefault() {
    return retryBudget.orElse(DEFAULT_RETRY_BUDGET);
  }

  /** Returns how long recorded results are kept. */
  public Duration resultRetention() {
    return resultRetentionMs.map(Duration::ofMillis).orElse(DEFAULT_RESULT_RETENTION);
  }

  /** Returns the upstream with the given id. */
  public Optional<UpstreamDefinition> findUpstream(String id) {
    return upstreams.stream().filter(upstream -> upstream.id().equals(id)).findFirst();
  }
}
