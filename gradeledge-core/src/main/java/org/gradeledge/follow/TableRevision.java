package org.gradeledge.follow;

/**
 * Revisions of a platform's tables, composed of an epoch and a version. A platform that is restored
 * from a backup assigns versions again and starts a new epoch. The first known epoch is 0.
 *
 * <p>A revision is a single number: comparing revisions compares epochs first, then versions. In
 * epoch 0, a revision equals its version.
 *
 * @since 0.4
 */
public abstract class TableRevision {

  private static final int VERSION_BITS = 40;

  private static final long VERSION_LIMIT = 1L << VERSION_BITS;
  private static final long EPOCH_LIMIT = 1L << Long.SIZE - 1 - VERSION_BITS;

  private TableRevision() {}

  /** Returns the revision of an epoch and a version. */
  public static long of(long epoch, long version) {
    if (epoch < 0 || epoch >= EPOCH_LIMIT || version < 0 || version >= VERSION_LIMIT) {
      throw new IllegalArgumentException("epoch or version out of range: " + epoch + "/" + version);
    }
    return epoch << VERSION_BITS | version;
  }

  /** Returns the epoch of a revision, or -1 if the revision is negative. */
  public static long epoch(long revision) {
    return revision >> VERSION_BITS;
  }

  /** Returns the version of a revision. */
  public static long version(long revision) {
    return revision & VERSION_LIMIT - 1;
  }
}
