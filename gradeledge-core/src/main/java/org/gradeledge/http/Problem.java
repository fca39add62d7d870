package org.gradeledge.http;

import java.util.Optional;
import org.gradeledge.verdict.RefusalException;

/**
 * A refusal as problem JSON (RFC 9457) with the verdict.
 *
 * @param type URN of the reason
 * @param title the reason in words
 * @param status the HTTP status
 * @param detail text for a person
 * @param verdict whether the request may have run
 * @param reason the reason for programs
 * @param stage stage at which the request ended
 * @param requestId the request
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

  /** Returns the problem that tells a refusal. */
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
