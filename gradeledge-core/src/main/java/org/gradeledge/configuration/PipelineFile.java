package org.gradeledge.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A pipeline definition as submitted by operators.
 *
 * @param pipeline name of the pipeline
 * @param stages stages in execution order
 * @param accounts client accounts that may use it
 * @param upstreams upstreams that its stages may refer to
 * @param retryBudget ratio of retries to first attempts, 0 to 1
 * @param resultRetentionMs how long results of non-repeatable requests are kept for retries
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

  /** Validates required components. */
  public PipelineFile {
    Objects.requireNonNull(pipeline, "pipeline must be given");
    stages = List.copyOf(stages);
    accounts = List.copyOf(accounts);
    upstreams = List.copyOf(upstreams);
  }

  /** Returns whether requests must run at most once, since a stage is not repeatable. */
  public boolean runsAtMostOnce() {
    return stages.stream().anyMatch(stage -> !stage.repeatable());
  }

  /** Returns the ratio of retries to first attempts, or the default if not set. */
  public double retryBudgetOrDefault() {
    return retryBudget.orElse(DEFAULT_RETRY_BUDGET);
  }

  /** Returns how long results are kept, or the default if not set. */
  public Duration resultRetention() {
    return resultRetentionMs.map(Duration::ofMillis).orElse(DEFAULT_RESULT_RETENTION);
  }

  /** Returns the upstream with the given id. */
  public Optional<UpstreamDefinition> findUpstream(String id) {
    return upstreams.stream().filter(upstream -> upstream.id().equals(id)).findFirst();
  }
}
