package org.gradeledge.deployment;

/**
 * What one upstream of a batching service takes and needs.
 *
 * @param calls calls at work at once
 * @param itemsPerCall most items of a call
 * @param callMillis fixed time of a call
 * @param itemMillis about the time of an item
 * @param roomBytes room for results
 * @param resultMillis how long a result is kept unless it is freed
 * @since 0.2
 */
public record BatchLimits(
    int calls,
    int itemsPerCall,
    double callMillis,
    double itemMillis,
    long roomBytes,
    long resultMillis) {

  /** Checks the limits. */
  public BatchLimits {
    if (calls <= 0 || itemsPerCall <= 0) {
      throw new IllegalArgumentException("calls and items of a call must be positive");
    }
  }

  /** Returns about how long a call of so many items works, in milliseconds. */
  public double expectedMillis(int items) {
    return callMillis + items * itemMillis;
  }
}
