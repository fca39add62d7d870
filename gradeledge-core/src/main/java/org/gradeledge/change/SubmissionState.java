package org.gradeledge.change;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * The state of a submission. Accepted and refused are final.
 *
 * @since 0.1
 */
public enum SubmissionState {
  /** Written to the table; the members are preparing the version. */
  STAGED(false),
  /** Accepted; the version is or will be in force on all members. */
  ACCEPTED(true),
  /** Refused; the version never comes into force. */
  REFUSED(true),
  /** Not determined by the box that answers; a later query returns the final state. */
  UNKNOWN(false);

  private final boolean settled;

  SubmissionState(boolean settled) {
    this.settled = settled;
  }

  /** Returns the state with the given serialized name. */
  @JsonCreator
  public static SubmissionState ofWireName(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT));
  }

  /** Returns the name used in responses and table rows. */
  @JsonValue
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns whether the state is final. */
  public boolean isSettled() {
    return settled;
  }
}
