package org.gradeledge.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.gradeledge.time.MonotonicClock;

/**
 * This box's share of the deployment's retries. In any window a box sends again at most a part of
 * the deployment's fixed allowance and a ratio of the requests that it took itself, so that all
 * boxes together stay within the deployment's budget without asking each other.
 *
 * <p>A box that is killed forgets what it spent; half of the fixed allowance is kept back for that.
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
   * @param ratio retries for each request that the deployment allows
   * @param allowance retries in a window that it allows besides
   * @param window length of a window
   * @param boxes how many boxes may be spending now
   */
  public RetryBudget(
      MonotonicClock clock, double ratio, double allowance, Duration window, IntSupplier boxes) {
    this.clock = clock;
    this.ratio = ratio * RATIO_SAFETY_FACTOR;
    this.allowance = allowance * ALLOWANCE_SAFETY_FACTOR;
    this.bucketNanos = window.toNanos() / BUCKETS;
    this.boxCount = boxes;
  }

  /** Counts a request for a service that a caller sent. */
  public void recordRequest(String service) {
    window(service).requests[window(service).currentBucket()]++;
  }

  /** Returns whether something may be sent to a service again, and counts it if so. */
  public boolean trySpend(String service) {
    return trySpend(service, 1);
  }

  /** Returns whether so many things may be sent to a service again, and counts them if so. */
  public boolean trySpend(String service, int count) {
    Window window = window(service);
    int bucket = window.currentBucket();
    double limit =
        allowance / Math.max(1, boxCount.getAsInt()) + ratio * window.sum(window.requests);
    if (window.sum(window.retries) + count > limit) {
      return false;
    }
    window.retries[bucket] += count;
    return true;
  }

  private Window window(String service) {
    return byService.computeIfAbsent(service, name -> new Window());
  }

  /** Counts over the buckets of one window. */
  private final class Window {

    private final int[] requests = new int[BUCKETS];
    private final int[] retries = new int[BUCKETS];
    private long newestBucket = clock.nanos() / bucketNanos;

    int currentBucket() {
      long now = clock.nanos() / bucketNanos;
      long passed = Math.min(BUCKETS, now - newestBucket);
      for (long i = 1; i <= passed; i++) {
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
