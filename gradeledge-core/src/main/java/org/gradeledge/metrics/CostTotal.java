package org.gradeledge.metrics;

import java.util.Map;

/**
 * What one stage consumed for one client account on one box.
 *
 * @param pipeline name of the pipeline
 * @param stage name of the stage
 * @param account name of the client account
 * @param upstreamMillis time that upstreams spent on calls whose answers were used
 * @param wastedMillis time that they spent on all other calls
 * @param tokensIn tokens read
 * @param tokensOut tokens generated
 * @param attempts calls by what became of them
 * @since 0.1
 */
public record CostTotal(
    String pipeline,
    String stage,
    String account,
    double upstreamMillis,
    double wastedMillis,
    long tokensIn,
    long tokensOut,
    Map<String, Long> attempts) {}
