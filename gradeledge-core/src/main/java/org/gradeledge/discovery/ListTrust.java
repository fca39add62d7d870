package org.gradeledge.discovery;

/**
 * How far a box trusts that upstreams missing from its list are gone.
 *
 * @since 0.3
 */
public enum ListTrust {
  /** The box reads the list too rarely to detect an outage. */
  UNKNOWN,
  /** The list was unavailable: missing entries may only have lapsed. */
  DOUBTED,
  /** The box has read the list without interruption: missing entries are gone. */
  TRUSTED;

  private static final ListTrust[] ALL = values();

  /** Returns the code of this constant in messages between boxes. */
  public int code() {
    return ordinal();
  }

  /** Returns the constant for a code, {@link #UNKNOWN} for an unknown code. */
  public static ListTrust ofCode(int code) {
    return code > 0 && code < ALL.length ? ALL[code] : UNKNOWN;
  }
}
