package org.gradeledge.change;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * Where a submission stands. Accepted and refused are final.
 *
 * @since 0.1
 */
public enum SubmissionState {
  /** Written to the table; members are preparing. */
  STAGED(false),
  /** In force, or about to be, everywhere. */
  ACCEPTED(true),
  /** Never in force anywhere. */
  REFUSED(true),
  /** Not known to whoever answers; asking again later tells. */
  UNKNOWN(false);

  private final boolean settled;

  SubmissionState(boolean settled) {
    this.settled = settled;
  }

  /** Returns the state with the given name. */
  @JsonCreator
  public static SubmissionState ofWireName(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT));
  }

  /** Returns the name in answers and rows. */
  @JsonValue
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns whether it will not change any more. */
  public boolean isSettled() {
    return settled;
  }
}
