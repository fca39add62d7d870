package org.gradeledge.deployment;

/**
 * What one upstream of a batching service takes and needs.
 *
 * @param maxConcurrentCalls calls at work at once
 * @param maxItemsPerCall most items of a call
 * @param fixedCallMillis fixed time of a call
 * @param millisPerItem about the time of an item
 * @param memoryBytes room for results
 * @param retentionMillis how long a result is kept unless it is freed
 * @since 0.2
 */
public record BatchLimits(
    int maxConcurrentCalls,
    int maxItemsPerCall,
    double fixedCallMillis,
    double millisPerItem,
    long memoryBytes,
    long retentionMillis) {

  /** Checks the limits. */
  public BatchLimits {
    if (maxConcurrentCalls <= 0 || maxItemsPerCall <= 0) {
      throw new IllegalArgumentException("calls and items of a call must be positive");
    }
  }

  /** Returns about how long a call of so many items works, in milliseconds. */
  public double expectedMillis(int items) {
    return fixedCallMillis + items * millisPerItem;
  }
}
