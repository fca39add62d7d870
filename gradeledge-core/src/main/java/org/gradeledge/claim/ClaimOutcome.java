package org.gradeledge.claim;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What came of an attempt to claim a key.
 *
 * @since 0.1
 */
public sealed interface ClaimOutcome {

  /** This request holds the key and may run. */
  record Acquired(Claim claim) implements ClaimOutcome {}

  /** An earlier request with the key and the same body completed; this is its answer. */
  record Answered(JsonNode result) implements ClaimOutcome {}

  /** An earlier request with the key may have run; its answer is not recorded. */
  record InUse() implements ClaimOutcome {}

  /** The key was used with another body. */
  record BodyMismatch() implements ClaimOutcome {}
}
