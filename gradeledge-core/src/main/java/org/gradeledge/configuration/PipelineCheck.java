package org.gradeledge.configuration;

import java.util.stream.Stream;
import org.gradeledge.document.Fault;

/** A semantic check of a pipeline file that has passed schema validation. */
interface PipelineCheck {

  /** Returns the violations, empty if the file is valid. */
  Stream<Fault> findFaults(PipelineFile file);
}
