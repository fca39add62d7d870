package org.gradeledge.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.OptionalLong;
import org.gradeledge.configuration.StageDefinition;
import org.gradeledge.configuration.UpstreamDefinition;

/**
 * One attempt of one stage at one upstream.
 *
 * @param requestId the request it belongs to
 * @param stage what to do
 * @param attempt counts up from 1 for each stage of a request
 * @param upstream where to do it
 * @param input what the stage takes in, see {@code StageInput}
 * @param timeLeft time left to the request's deadline; told to the upstream
 * @param idempotencyKey key of a request that must run at most once, empty for others
 * @param resumeAfter offset of the last token already received of a broken stream
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
