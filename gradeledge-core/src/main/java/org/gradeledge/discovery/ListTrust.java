package org.gradeledge.discovery;

/**
 * What a box can say of entries that are missing from its list of upstreams.
 *
 * @since 0.3
 */
public enum ListTrust {
  /** It reads too seldom to have noticed an outage of the list. */
  UNKNOWN,
  /** The list was away: they may only have lapsed. */
  DOUBTED,
  /** It has read the list steadily: they are gone. */
  TRUSTED;

  private static final ListTrust[] ALL = values();

  /** Returns the number that stands for it between boxes. */
  public int code() {
    return ordinal();
  }

  /** Returns what a number stands for; what is not known says nothing. */
  public static ListTrust ofCode(int code) {
    return code > 0 && code < ALL.length ? ALL[code] : UNKNOWN;
  }
}
