package org.gradeledge.configuration;

/**
 * A version that this box has prepared and whose verdict it does not know yet.
 *
 * @param version the version proposed
 * @param preparedAtNanos when it was prepared, on the box's monotonic clock
 */
record PreparedVersion(PipelineVersion version, long preparedAtNanos) {}
