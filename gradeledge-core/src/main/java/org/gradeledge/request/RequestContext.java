package org.gradeledge.request;

import org.gradeledge.admission.PipelineLimits;
import org.gradeledge.configuration.AccountDefinition;
import org.gradeledge.configuration.PipelineFile;
import org.gradeledge.configuration.PipelineVersion;
import org.gradeledge.time.Deadline;

/**
 * An admitted request and the state it needs until it ends.
 *
 * @param request the request of the caller
 * @param version pipeline version under which it was admitted
 * @param account client account of the caller
 * @param deadline time by which it must be answered
 * @param limits concurrency limits and latencies of the pipeline's stages
 * @param progress current stage and calls in flight
 */
record RequestContext(
    CallerRequest request,
    PipelineVersion version,
    AccountDefinition account,
    Deadline deadline,
    PipelineLimits limits,
    RequestProgress progress) {

  PipelineFile file() {
    return version.file();
  }
}
