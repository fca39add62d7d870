package org.gradeledge.batch;

/**
 * The room for results that an upstream says it has, which may be told in coarse units.
 *
 * @param leastBytes bytes that are free for certain
 * @param mostBytes bytes that may be free
 * @since 0.2
 */
public record FreeRoom(long leastBytes, long mostBytes) {

  /** Checks the bounds. */
  public FreeRoom {
    if (leastBytes < 0 || mostBytes < leastBytes) {
      throw new IllegalArgumentException("free room must not be less than nothing");
    }
  }

  /** Returns how many of the bytes that should be free are not, zero where that is not certain. */
  long missingOf(long expectedBytes) {
    return expectedBytes <= mostBytes ? 0 : expectedBytes - (leastBytes + mostBytes) / 2;
  }
}
