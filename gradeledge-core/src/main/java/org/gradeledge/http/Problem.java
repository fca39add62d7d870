package org.gradeledge.http;

import java.util.Optional;
import org.gradeledge.verdict.RefusalException;

/**
 * Problem details (RFC 9457) of a refusal, extended by the verdict.
 *
 * @param type URN of the reason
 * @param title short description of the reason
 * @param status HTTP status
 * @param detail human-readable explanation
 * @param verdict whether the request may have run
 * @param reason machine-readable reason
 * @param stage stage at which the request failed
 * @param requestId id of the request
 * @since 0.1
 */
public record Problem(
    String type,
    String title,
    int status,
    String detail,
    String verdict,
    String reason,
    Optional<String> stage,
    String requestId) {

  /** Converts a refusal. */
  public static Problem of(RefusalException refusal, String requestId) {
    String reason = refusal.reason().wireName();
    return new Problem(
        "urn:gradeledge:refusal:" + reason,
        reason.replace('-', ' '),
        refusal.reason().httpStatus(),
        String.valueOf(refusal.getMessage()),
        refusal.verdict().wireName(),
        reason,
        refusal.stage(),
        requestId);
  }
}
