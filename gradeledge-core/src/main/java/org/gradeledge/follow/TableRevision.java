package org.gradeledge.follow;

/**
 * Places in the history of a platform's tables. A platform may come back as an older copy of itself
 * and give versions out again; it then tells a new era, of which the first one that is known is 0.
 *
 * <p>A revision is one number that rises with era and version, so that whoever compares revisions,
 * here or in a message, compares eras first. Without eras it is the version.
 *
 * @since 0.4
 */
public abstract class TableRevision {

  /** A version for each microsecond of twelve days; eras then go up to eight million. */
  private static final int VERSION_BITS = 40;

  private static final long VERSION_LIMIT = 1L << VERSION_BITS;
  private static final long EPOCH_LIMIT = 1L << Long.SIZE - 1 - VERSION_BITS;

  private TableRevision() {}

  /** Returns the revision of a version in an era. */
  public static long of(long era, long version) {
    if (era < 0 || era >= EPOCH_LIMIT || version < 0 || version >= VERSION_LIMIT) {
      throw new IllegalArgumentException("no place in a history: " + era + "/" + version);
    }
    return era << VERSION_BITS | version;
  }

  /** Returns the era of a revision, -1 where none is known. */
  public static long epoch(long revision) {
    return revision >> VERSION_BITS;
  }

  /** Returns the version of a revision. */
  public static long version(long revision) {
    return revision & VERSION_LIMIT - 1;
  }
}
