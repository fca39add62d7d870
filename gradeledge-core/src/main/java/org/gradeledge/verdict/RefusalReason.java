package org.gradeledge.verdict;

import java.util.Locale;

/**
 * Why a request was not answered with a result, with the HTTP status that tells it.
 *
 * @since 0.1
 */
public enum RefusalReason {
  MALFORMED_REQUEST(400, false),
  DEADLINE_INVALID(400, false),
  IDEMPOTENCY_KEY_MISSING(400, false),
  TOKEN_UNKNOWN(401, false),
  PIPELINE_UNKNOWN(404, false),
  BODY_TOO_LARGE(413, false),
  KEY_USED_WITH_ANOTHER_BODY(422, false),
  KEY_IN_USE(409, false),
  ACCOUNT_LIMIT(429, true),
  OVERLOADED(503, true),
  DEADLINE_UNREACHABLE(503, true),
  CONFIGURATION_IN_DOUBT(503, true),
  MEMBERSHIP_UNCONFIRMED(503, true),
  STOPPING(503, true),
  TABLE_UNAVAILABLE(503, true),
  NO_UPSTREAM(503, true),
  UPSTREAM_FAILED(502, true),
  ANSWER_MISMATCHED(502, true),
  ANSWER_INCOMPLETE(502, true),
  DEADLINE_PASSED(504, true),
  CALLER_LEFT(499, false),
  INTERNAL(500, false);

  private final int httpStatus;
  private final boolean retryable;

  RefusalReason(int httpStatus, boolean worthRetrying) {
    this.httpStatus = httpStatus;
    this.retryable = worthRetrying;
  }

  /** Returns the HTTP status that goes with this reason. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns whether the same request may succeed later, so that Retry-After is given. */
  public boolean isRetryable() {
    return retryable;
  }

  /** Returns the name used in answers, metrics and logs. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
