package org.gradeledge.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A request as a caller made it.
 *
 * @param requestId unique; given by the box
 * @param pipeline name of the pipeline
 * @param tokenSha256 digest of the caller's bearer token
 * @param deadlineMs deadline that the caller asked for
 * @param idempotencyKey key under which it must run at most once
 * @param bodyDigest digest of the body as received
 * @param input the body, a JSON object
 * @since 0.1
 */
public record CallerRequest(
    String requestId,
    String pipeline,
    String tokenSha256,
    OptionalLong deadlineMs,
    Optional<String> idempotencyKey,
    String bodyDigest,
    ObjectNode input) {

  /** Checks that every part is there. */
  public CallerRequest {
    Objects.requireNonNull(requestId, "requestId must be given");
    Objects.requireNonNull(pipeline, "pipeline must be given");
    Objects.requireNonNull(input, "input must be given");
  }
}
