package org.gradeledge.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;
import org.junit.jupiter.api.Test;

class ConfigurationRegistryTests {

  private static final String NAME = "seat-matching";

  private long nanos;
  private final ConfigurationRegistry registry =
      new ConfigurationRegistry(() -> nanos, Duration.ofNanos(100), new BoxMetrics());

  @Test
  void neverGoesBackToALowerVersion() {
    registry.install(PipelineFixture.version(2, "b"));
    registry.install(PipelineFixture.version(1, "a"));
    assertThat(registry.activeVersionNumber(NAME)).isEqualTo(2);
  }

  @Test
  void servesThePreparedPipelinesOldVersionOnlyUntilTheDoubtBound() {
    registry.install(PipelineFixture.version(1, "a"));
    registry.prepare(PipelineFixture.version(2, "b"));
    nanos = 99;
    assertThat(registry.requireServing(NAME).version()).isEqualTo(1);
    nanos = 100;
    assertThatThrownBy(() -> registry.requireServing(NAME))
        .isInstanceOfSatisfying(
            RefusalException.class,
            e -> assertThat(e.reason()).isEqualTo(RefusalReason.CONFIGURATION_IN_DOUBT));
  }

  @Test
  void preparingAgainDoesNotProlongTheDoubtBound() {
    registry.install(PipelineFixture.version(1, "a"));
    registry.prepare(PipelineFixture.version(2, "b"));
    nanos = 60;
    assertThat(registry.prepare(PipelineFixture.version(2, "b"))).isTrue();
    nanos = 100;
    assertThatThrownBy(() -> registry.requireServing(NAME)).isInstanceOf(RefusalException.class);
  }

  @Test
  void preparesOneSubmissionOfAPipelineAtATime() {
    registry.prepare(PipelineFixture.version(1, "a"));
    assertThat(registry.prepare(PipelineFixture.version(1, "b"))).isFalse();
    registry.withdraw(NAME, "a");
    assertThat(registry.prepare(PipelineFixture.version(1, "b"))).isTrue();
  }

  @Test
  void doesNotPrepareWhatIsNotNewer() {
    registry.install(PipelineFixture.version(2, "b"));
    assertThat(registry.prepare(PipelineFixture.version(2, "c"))).isFalse();
  }
}
