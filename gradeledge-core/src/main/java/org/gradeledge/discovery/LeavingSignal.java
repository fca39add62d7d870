package org.gradeledge.discovery;

/**
 * What one answer of an upstream says of whether it leaves.
 *
 * @param kind what was said
 * @param text what stood there; empty but for {@link Kind#UNREADABLE}
 * @since 0.5
 */
public record LeavingSignal(Kind kind, String text) {

  /** What may be said. */
  public enum Kind {
    /** It leaves and takes no new work. */
    LEAVES,
    /** It says nothing of leaving. */
    NOTHING,
    /** There is something that is neither yes nor no. */
    UNREADABLE
  }

  /** The upstream leaves. */
  public static final LeavingSignal LEAVES = new LeavingSignal(Kind.LEAVES, "");

  /** The answer says nothing of leaving. */
  public static final LeavingSignal NOTHING = new LeavingSignal(Kind.NOTHING, "");

  /** Returns that what stood there cannot be read. */
  public static LeavingSignal unreadable(String text) {
    return new LeavingSignal(Kind.UNREADABLE, text);
  }
}
