package org.gradeledge.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.OptionalLong;
import org.gradeledge.configuration.StageDefinition;
import org.gradeledge.configuration.UpstreamDefinition;

/**
 * One attempt to run a stage on an upstream.
 *
 * @param requestId id of the request
 * @param stage stage to run
 * @param attempt number of the attempt, starting at 1 for each stage of a request
 * @param upstream upstream to call
 * @param input input of the stage, see {@code StageInput}
 * @param timeLeft time until the deadline of the request; sent to the upstream
 * @param idempotencyKey key of a request that must run at most once, empty for others
 * @param resumeAfter offset of the last token received from an interrupted stream
 * @since 0.1
 */
public record UpstreamCall(
    String requestId,
    StageDefinition stage,
    int attempt,
    UpstreamDefinition upstream,
    JsonNode input,
    Duration timeLeft,
    String idempotencyKey,
    OptionalLong resumeAfter) {}
