package org.gradeledge.change;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * Why a submission was refused, with the HTTP status of the response to the operator.
 *
 * @since 0.1
 */
public enum RefusalCause {
  /** The submission was not refused. */
  NONE(200),
  /** The file is not valid. */
  INVALID_FILE(422),
  /** The base version is not the version in force. */
  STALE_BASE(412),
  /** Another submission of the pipeline was staged first. */
  LOST_RACE(409),
  /** A member did not prepare in time. */
  MEMBER_NOT_PREPARED(503),
  /** The platform's store could not be reached. */
  STORE_UNAVAILABLE(503),
  /** The submitting box did not decide in time, and another box refused the submission. */
  ABANDONED(503);

  private final int httpStatus;

  RefusalCause(int httpStatus) {
    this.httpStatus = httpStatus;
  }

  /** Returns the cause with the given serialized name. */
  @JsonCreator
  public static RefusalCause ofWireName(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
  }

  /** Returns the name used in responses and table rows. */
  @JsonValue
  public String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the HTTP status of the response. */
  public int httpStatus() {
    return httpStatus;
  }
}
