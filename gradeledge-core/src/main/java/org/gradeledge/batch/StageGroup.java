package org.gradeledge.batch;

import java.util.List;
import java.util.Optional;

/**
 * All pieces of one stage of one request, as submitted to the box that owns the service.
 *
 * @param service service that computes the pieces
 * @param requestId id of the request
 * @param stage index of the stage
 * @param pieces number of pieces
 * @param key key of the input data of a stage without inputs
 * @param inputs handles of the results of earlier stages
 * @param inputBytes approximate total size of the inputs; each piece takes all of them
 * @param resultBytes approximate size of one result
 * @param zone zone of the consumer of the results, empty if it does not matter
 * @param priority 0 is the most urgent
 * @param dueMillis time until the results miss the target time of the request, may be negative
 * @param remainingMillis time until the results are no longer useful
 * @param waitMillis how long the pieces may wait before the group ends as late
 * @param first whether the request has no stage results yet, so that it can be refused cheaply
 * @since 0.2
 */
public record StageGroup(
    String service,
    String requestId,
    int stage,
    int pieces,
    Optional<String> key,
    List<String> inputs,
    long inputBytes,
    long resultBytes,
    String zone,
    int priority,
    long dueMillis,
    long remainingMillis,
    long waitMillis,
    boolean first) {}
