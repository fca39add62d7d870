package org.gradeledge.metrics;

import java.util.Map;

/**
 * Total cost of one stage for one client account on one box.
 *
 * @param pipeline name of the pipeline
 * @param stage name of the stage
 * @param account name of the client account
 * @param upstreamMillis time that upstreams spent on calls whose answers were used
 * @param wastedMillis time that upstreams spent on all other calls
 * @param tokensIn input tokens
 * @param tokensOut generated tokens
 * @param attempts number of calls by result
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
