package org.gradeledge.configuration;

import java.util.stream.Stream;
import org.gradeledge.document.Fault;

/** One rule that a pipeline file must keep beyond its schema. */
interface PipelineCheck {

  /** Returns what breaks the rule, nothing where it is kept. */
  Stream<Fault> findFaults(PipelineFile file);
}
