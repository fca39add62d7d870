package org.gradeledge.claim;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The outcome of an attempt to claim an idempotency key.
 *
 * @since 0.1
 */
public sealed interface ClaimOutcome {

  /** The request acquired the key and may run. */
  record Acquired(Claim claim) implements ClaimOutcome {}

  /** An earlier request with this key and the same body completed with the given answer. */
  record Answered(JsonNode result) implements ClaimOutcome {}

  /** An earlier request with this key may have run; its answer is not recorded. */
  record InUse() implements ClaimOutcome {}

  /** The key was used with a different body. */
  record BodyMismatch() implements ClaimOutcome {}
}
