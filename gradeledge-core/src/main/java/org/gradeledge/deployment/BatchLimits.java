package org.gradeledge.deployment;

/**
 * Limits and expected times of calls to one upstream of a batching service.
 *
 * @param maxConcurrentCalls maximum number of concurrent calls
 * @param maxItemsPerCall maximum number of items in a call
 * @param fixedCallMillis fixed time of a call
 * @param millisPerItem approximate additional time for each item
 * @param memoryBytes memory for results
 * @param retentionMillis time for which a result is kept unless it is released
 * @since 0.2
 */
public record BatchLimits(
    int maxConcurrentCalls,
    int maxItemsPerCall,
    double fixedCallMillis,
    double millisPerItem,
    long memoryBytes,
    long retentionMillis) {

  /** Validates the limits. */
  public BatchLimits {
    if (maxConcurrentCalls <= 0 || maxItemsPerCall <= 0) {
      throw new IllegalArgumentException("calls and items of a call must be positive");
    }
  }

  /** Returns the expected duration of a call with the given number of items, in milliseconds. */
  public double expectedMillis(int items) {
    return fixedCallMillis + items * millisPerItem;
  }
}
