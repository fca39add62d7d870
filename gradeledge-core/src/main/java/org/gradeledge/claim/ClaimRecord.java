package org.gradeledge.claim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * The value of a claim's row.
 *
 * @param writer unique to the attempt to claim; tells after a lost answer whose row it is
 * @param bodyDigest digest of the request's body; the same key with another body is refused
 * @param expiresAtMillis wall-clock time after which the row counts as absent
 * @param result the recorded answer, once there is one
 */
record ClaimRecord(
    String writer, String bodyDigest, long expiresAtMillis, Optional<JsonNode> result) {

  ClaimRecord completed(JsonNode answer) {
    return new ClaimRecord(writer, bodyDigest, expiresAtMillis, Optional.of(answer));
  }
}
