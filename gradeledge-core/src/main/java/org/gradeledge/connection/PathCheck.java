package org.gradeledge.connection;

/**
 * What a box found when it connected to an upstream.
 *
 * @since 0.3
 */
public enum PathCheck {
  /** The connection was established. */
  REACHED(0),
  /** The connection was refused. */
  REFUSED(1),
  /** The connection was not established in time. */
  SILENT(2),
  /** The box did not try, because it cannot tell or has no path itself. */
  UNAVAILABLE(3);

  private final int code;

  PathCheck(int code) {
    this.code = code;
  }

  /** Returns the code of this value in messages between boxes. */
  public int code() {
    return code;
  }

  /** Returns the value of a code; unknown codes mean {@link #UNAVAILABLE}. */
  public static PathCheck ofCode(int code) {
    for (PathCheck each : values()) {
      if (each.code == code) {
        return each;
      }
    }
    return UNAVAILABLE;
  }
}
