package org.gradeledge.metrics;

/**
 * Cost of one call of a stage.
 *
 * @param pipeline name of the pipeline
 * @param stage name of the stage
 * @param account client account of the request
 * @param result result of the call
 * @param nanos time from dispatch to end, in nanoseconds
 * @param tokensIn input tokens, 0 if the upstream does not report them
 * @param tokensOut generated tokens
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
