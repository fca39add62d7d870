package org.gradeledge.configuration;

/**
 * A prepared version whose verdict is pending.
 *
 * @param version proposed version
 * @param preparedAtNanos time of preparation on the monotonic clock
 */
record PreparedVersion(PipelineVersion version, long preparedAtNanos) {}
