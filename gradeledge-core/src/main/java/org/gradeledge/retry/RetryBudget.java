package org.gradeledge.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.gradeledge.time.MonotonicClock;

/**
 * This box's share of the retry budget of the deployment, by service.
 *
 * <p>In any window, a box retries at most its part of the fixed allowance plus a ratio of the
 * requests that it received itself, so that all boxes together stay within the budget without
 * coordination. Half of the fixed allowance is reserved because a killed box loses its counts.
 * Confined to the event loop.
 *
 * @since 0.2
 */
public final class RetryBudget {

  private static final int BUCKETS = 10;
  private static final double RATIO_SAFETY_FACTOR = 0.8;
  private static final double ALLOWANCE_SAFETY_FACTOR = 0.5;

  private final MonotonicClock clock;
  private final double ratio;
  private final double allowance;
  private final long bucketNanos;
  private final IntSupplier boxCount;
  private final Map<String, Window> byService = new HashMap<>();

  /**
   * Creates a budget.
   *
   * @param ratio retries that the deployment allows per request
   * @param allowance additional retries that the deployment allows in a window
   * @param window length of a window
   * @param boxCount number of boxes that currently use the budget
   */
  public RetryBudget(
      MonotonicClock clock, double ratio, double allowance, Duration window, IntSupplier boxCount) {
    this.clock = clock;
    this.ratio = ratio * RATIO_SAFETY_FACTOR;
    this.allowance = allowance * ALLOWANCE_SAFETY_FACTOR;
    this.bucketNanos = window.toNanos() / BUCKETS;
    this.boxCount = boxCount;
  }

  /** Records a request of a caller for a service. */
  public void recordRequest(String service) {
    window(service).requests[window(service).currentBucket()]++;
  }

  /** Returns whether one retry for a service is allowed, and records it if so. */
  public boolean trySpend(String service) {
    return trySpend(service, 1);
  }

  /** Returns whether the given number of retries is allowed, and records all of them if so. */
  public boolean trySpend(String service, int count) {
    boolean allowed = allows(service, count);
    if (allowed) {
      Window window = window(service);
      window.retries[window.currentBucket()] += count;
    }
    return allowed;
  }

  /** Returns whether the given number of retries is allowed now, without recording them. */
  public boolean allows(String service, int count) {
    Window window = window(service);
    double limit =
        allowance / Math.max(1, boxCount.getAsInt()) + ratio * window.sum(window.requests);
    return window.sum(window.retries) + count <= limit;
  }

  private Window window(String service) {
    return byService.computeIfAbsent(service, name -> new Window());
  }

  /** Requests and retries in a sliding window, counted in buckets. */
  private final class Window {

    private final int[] requests = new int[BUCKETS];
    private final int[] retries = new int[BUCKETS];
    private long newestBucket = clock.nanos() / bucketNanos;

    int currentBucket() {
      long now = clock.nanos() / bucketNanos;
      long elapsedBuckets = Math.min(BUCKETS, now - newestBucket);
      for (long i = 1; i <= elapsedBuckets; i++) {
        int bucket = Math.floorMod(newestBucket + i, BUCKETS);
        requests[bucket] = 0;
        retries[bucket] = 0;
      }
      newestBucket = Math.max(newestBucket, now);
      return Math.floorMod(newestBucket, BUCKETS);
    }

    int sum(int[] counts) {
      currentBucket();
      int total = 0;
      for (int count : counts) {
        total += count;
      }
      return total;
    }
  }
}
