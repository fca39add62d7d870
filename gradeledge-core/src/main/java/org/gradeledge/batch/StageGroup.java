package org.gradeledge.batch;

import java.util.List;
import java.util.Optional;

/**
 * All pieces of one stage of one request, as it is handed to the box that makes the calls.
 *
 * @param service service that makes the pieces
 * @param requestId id of the request
 * @param stage number of the stage
 * @param pieces how many pieces
 * @param key what the first stages work from, absent where there are inputs
 * @param inputs results of earlier stages
 * @param inputBytes about how large all inputs together are; each piece takes all of them
 * @param resultBytes about how large one result is
 * @param zone zone that the results are wanted in, empty where that does not matter
 * @param priority 0 is the most urgent
 * @param dueMillis time left until the results come late for the request's target, may be negative
 * @param remainingMillis time left until they are worth nothing
 * @param maxWaitMillis how long its pieces may wait before the request is better given up
 * @param noWorkDone whether nothing was done for the request yet, so that it can be refused cheaply
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
    long maxWaitMillis,
    boolean noWorkDone) {}
