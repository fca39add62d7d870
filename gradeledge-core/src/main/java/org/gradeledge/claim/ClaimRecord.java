package org.gradeledge.claim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * The value of a claim's row.
 *
 * @param writer unique id of the attempt; identifies the row's owner if a response is lost
 * @param bodyDigest digest of the request body; the key is refused with a different body
 * @param expiresAtMillis wall-clock time after which the row is treated as absent
 * @param result the recorded answer, empty until the request completes
 */
record ClaimRecord(
    String writer, String bodyDigest, long expiresAtMillis, Optional<JsonNode> result) {

  ClaimRecord completed(JsonNode answer) {
    return new ClaimRecord(writer, bodyDigest, expiresAtMillis, Optional.of(answer));
  }
}
