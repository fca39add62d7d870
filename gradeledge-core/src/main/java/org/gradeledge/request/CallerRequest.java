package org.gradeledge.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A parsed request of a caller.
 *
 * @param requestId unique id assigned by the box
 * @param pipeline name of the pipeline
 * @param tokenSha256 SHA-256 digest of the caller's bearer token
 * @param deadlineMs deadline requested by the caller
 * @param idempotencyKey key for which at most one request runs
 * @param bodyDigest SHA-256 digest of the received body
 * @param input the body as a JSON object
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

  /** Checks the required components for null. */
  public CallerRequest {
    Objects.requireNonNull(requestId, "requestId must be given");
    Objects.requireNonNull(pipeline, "pipeline must be given");
    Objects.requireNonNull(input, "input must be given");
  }
}
