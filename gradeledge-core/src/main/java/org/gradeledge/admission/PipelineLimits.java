package org.gradeledge.admission;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.gradeledge.configuration.AccountDefinition;
import org.gradeledge.configuration.PipelineFile;
import org.gradeledge.configuration.StageDefinition;
import org.gradeledge.time.MonotonicClock;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;

/**
 * The limiters and latencies of all stages of one pipeline, retained across its versions.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class PipelineLimits {

  private final AdmissionPolicy policy;
  private final MonotonicClock clock;
  private final Map<String, StageLatencies> latencies = new ConcurrentHashMap<>();
  private final Map<String, StageLimiter> limiters = new ConcurrentHashMap<>();

  /** Creates limits for the given policy, without any stages. */
  public PipelineLimits(AdmissionPolicy policy, MonotonicClock clock) {
    this.clock = clock;
    this.policy = policy;
  }

  /** Applies the limits of a new version of the pipeline. */
  public void update(PipelineFile file) {
    file.stages().forEach(stage -> limiter(stage).setLimit(policy.limit(stage)));
  }

  /** Returns the limiter of a stage. */
  public StageLimiter limiter(StageDefinition stage) {
    return limiters.computeIfAbsent(
        stage.name(), name -> new StageLimiter(name, policy.limit(stage), latencies(stage)));
  }

  /** Returns the recent latencies of a stage. */
  public StageLatencies latencies(StageDefinition stage) {
    return latencies.computeIfAbsent(stage.name(), name -> new StageLatencies(clock));
  }

  /**
   * Returns the expected duration of consecutive stages for an account: the median latency of each
   * stage, plus the expected wait for a permit of all stages except the first, whose queue adds its
   * wait itself.
   */
  public Duration expectedDuration(List<StageDefinition> stages, AccountDefinition account) {
    Duration estimate = Duration.ZERO;
    for (int i = 0; i < stages.size(); i++) {
      StageDefinition stage = stages.get(i);
      estimate = estimate.plus(latencies(stage).median());
      if (i > 0) {
        estimate = estimate.plus(limiter(stage).expectedWait(account));
      }
    }
    return policy.expectedDuration(estimate);
  }

  /**
   * Returns the minimum remaining time to start a call of the first of the given stages. Uses the
   * 90th percentile for that stage, as half of the calls that start at this bound would be late
   * with the median.
   */
  public Duration minimumTimeToStart(List<StageDefinition> stages, AccountDefinition account) {
    StageLatencies firstStage = latencies(stages.get(0));
    Duration margin = firstStage.percentile90().minus(firstStage.median());
    return expectedDuration(stages, account).plus(policy.expectedDuration(margin));
  }

  /**
   * Refuses a request whose remaining time is not longer than the expected duration of its stages.
   */
  public void checkDeadline(PipelineFile file, AccountDefinition account, Duration remainingTime) {
    Duration expected = expectedDuration(file.stages(), account);
    if (expected.compareTo(remainingTime) >= 0) {
      throw RefusalException.forReason(RefusalReason.DEADLINE_UNREACHABLE)
          .detail(
              "the stages usually take "
                  + expected.toMillis()
                  + " ms and "
                  + remainingTime.toMillis()
                  + " ms are left")
          .retryAfter(expected)
          .build();
    }
  }
}
