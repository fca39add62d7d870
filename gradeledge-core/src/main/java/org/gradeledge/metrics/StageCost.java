package org.gradeledge.metrics;

/**
 * What one call of a stage consumed.
 *
 * @param pipeline name of the pipeline
 * @param stage name of the stage
 * @param account client account whose request it was
 * @param result what became of the call
 * @param nanos time from dispatch to end, in nanoseconds
 * @param tokensIn tokens that the upstream read, 0 where it does not say
 * @param tokensOut tokens that the upstream generated
 * @since 0.1
 */
public record StageCost(
    String pipeline,
    String stage,
    String account,
    AttemptResult result,
    long nanos,
    long tokensIn,
    long tokensOut) {}
