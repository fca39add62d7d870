package org.gradeledge.request;

import org.gradeledge.admission.PipelineLimits;
import org.gradeledge.configuration.AccountDefinition;
import org.gradeledge.configuration.PipelineFile;
import org.gradeledge.configuration.PipelineVersion;
import org.gradeledge.time.Deadline;

/**
 * One admitted request with everything it keeps to its end.
 *
 * @param request as the caller made it
 * @param version the version it was admitted under
 * @param account whose it is
 * @param deadline when it must be answered
 * @param limits limits and times of the pipeline's stages
 * @param progress how far it has come
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
