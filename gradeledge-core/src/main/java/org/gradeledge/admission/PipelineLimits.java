package org.gradeledge.admission;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.gradeledge.configuration.PipelineFile;
import org.gradeledge.configuration.StageDefinition;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;

/**
 * Limiters and times of all stages of one pipeline, kept over its versions. Thread-safe.
 *
 * @since 0.1
 */
public final class PipelineLimits {

  private final AdmissionPolicy policy;
  private final Map<String, StageTimes> times = new ConcurrentHashMap<>();
  private final Map<String, StageLimiter> limiters = new ConcurrentHashMap<>();

  /** Creates limits under a policy; no stage is known yet. */
  public PipelineLimits(AdmissionPolicy policy) {
    this.policy = policy;
  }

  /** Takes over the limits of a new version. */
  public void update(PipelineFile file) {
    file.stages().forEach(stage -> limiter(stage).setLimit(policy.limit(stage)));
  }

  /** Returns the limiter of a stage. */
  public StageLimiter limiter(StageDefinition stage) {
    return limiters.computeIfAbsent(
        stage.name(), name -> new StageLimiter(name, policy.limit(stage), times(stage)));
  }

  /** Returns the times of a stage. */
  public StageTimes times(StageDefinition stage) {
    return times.computeIfAbsent(stage.name(), name -> new StageTimes());
  }

  /** Returns how long the given stages are expected to take, one after another. */
  public Duration expected(List<StageDefinition> stages) {
    Duration estimate =
        stages.stream().map(stage -> times(stage).typical()).reduce(Duration.ZERO, Duration::plus);
    return policy.expected(estimate);
  }

  /** Refuses a request whose deadline is shorter than its stages usually take. */
  public void checkReachable(PipelineFile file, Duration timeLeft) {
    Duration expected = expected(file.stages());
    if (expected.compareTo(timeLeft) >= 0) {
      throw RefusalException.because(RefusalReason.DEADLINE_UNREACHABLE)
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
