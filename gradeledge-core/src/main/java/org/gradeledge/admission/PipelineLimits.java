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
 * Limiters and times of all stages of one pipeline, kept over its versions. Thread-safe.
 *
 * @since 0.1
 */
public final class PipelineLimits {

  private final AdmissionPolicy policy;
  private final MonotonicClock clock;
  private final Map<String, StageLatencies> latencies = new ConcurrentHashMap<>();
  private final Map<String, StageLimiter> limiters = new ConcurrentHashMap<>();

  /** Creates limits under a policy; no stage is known yet. */
  public PipelineLimits(AdmissionPolicy policy, MonotonicClock clock) {
    this.clock = clock;
    this.policy = policy;
  }

  /** Takes over the limits of a new version. */
  public void update(PipelineFile file) {
    file.stages().forEach(stage -> limiter(stage).setLimit(policy.limit(stage)));
  }

  /** Returns the limiter of a stage. */
  public StageLimiter limiter(StageDefinition stage) {
    return limiters.computeIfAbsent(
        stage.name(), name -> new StageLimiter(name, policy.limit(stage), latencies(stage)));
  }

  /** Returns the times of a stage. */
  public StageLatencies latencies(StageDefinition stage) {
    return latencies.computeIfAbsent(stage.name(), name -> new StageLatencies(clock));
  }

  /**
   * Returns how long the given stages are expected to take for an account, one after another: the
   * usual time of each, and the wait for a permit of all but the first, whose own queue counts the
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
   * Returns the time that must be left for a call of the first of the given stages to be worth
   * starting: as {@link #expectedDuration}, but with the time within which most calls of that stage
   * end. Calls that waited long start with little more than this, and half of them would end too
   * late if it were the median.
   */
  public Duration minimumTimeToStart(List<StageDefinition> stages, AccountDefinition account) {
    StageLatencies first = latencies(stages.get(0));
    Duration margin = first.percentile90().minus(first.median());
    return expectedDuration(stages, account).plus(policy.expectedDuration(margin));
  }

  /** Refuses a request whose deadline is shorter than its stages usually take. */
  public void checkDeadline(PipelineFile file, AccountDefinition account, Duration timeLeft) {
    Duration expected = expectedDuration(file.stages(), account);
    if (expected.compareTo(timeLeft) >= 0) {
      throw RefusalException.forReason(RefusalReason.DEADLINE_UNREACHABLE)
          .detail(
              "the stages usually take "
                  + expected.toMillis()
                  + " ms and "
                  + timeLeft.toMillis()
                  + " ms are left")
          .retryAfter(expected)
          .build();
    }
  }
}
