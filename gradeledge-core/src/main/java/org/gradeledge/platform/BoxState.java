package org.gradeledge.platform;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * State of a box in the platform's list.
 *
 * @since 0.1
 */
public enum BoxState {
  /** Accepts new work. */
  LIVE,
  /** Running, but accepts no new work. */
  LEAVING;

  /** Returns the state with the given name on the wire. */
  @JsonCreator
  public static BoxState ofWireName(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT));
  }

  /** Returns the name on the wire. */
  @JsonValue
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
