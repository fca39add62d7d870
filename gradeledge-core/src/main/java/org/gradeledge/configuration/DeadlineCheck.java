package org.gradeledge.configuration;

import java.util.stream.Stream;
import org.gradeledge.document.Fault;

/** The stages' shares of the deadline add up to no more than the whole. */
final class DeadlineCheck implements PipelineCheck {

  private static final double ROUNDING_TOLERANCE = 1e-9;

  @Override
  public Stream<Fault> findFaults(PipelineFile file) {
    double sum = file.stages().stream().mapToDouble(StageDefinition::deadlineShare).sum();
    return sum <= 1.0 + ROUNDING_TOLERANCE
        ? Stream.empty()
        : Stream.of(
            new Fault("/stages", "deadlineShare must add up to 1 at most, but gives " + sum));
  }
}
