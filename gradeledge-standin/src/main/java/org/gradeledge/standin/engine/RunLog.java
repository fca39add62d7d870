package org.gradeledge.standin.engine;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** What really ran, for holding against what callers were told. Thread-safe. */
public final class RunLog {

  private final Map<String, List<String>> runsByRequest = new ConcurrentHashMap<>();
  private final Map<String, AtomicLong> runsByKey = new ConcurrentHashMap<>();
  private final AtomicLong runs = new AtomicLong();
  private final AtomicLong cancelled = new AtomicLong();
  private final boolean detailed;

  /** Creates a log; a detailed one keeps each run, others only count. */
  public RunLog(boolean detailed) {
    this.detailed = detailed;
  }

  void ran(String requestId, String stage, String idempotencyKey) {
    runs.incrementAndGet();
    if (detailed) {
      runsByRequest.computeIfAbsent(requestId, id -> new CopyOnWriteArrayList<>()).add(stage);
      if (!idempotencyKey.isEmpty()) {
        runsByKey.computeIfAbsent(idempotencyKey, key -> new AtomicLong()).incrementAndGet();
      }
    }
  }

  void cancelled() {
    cancelled.incrementAndGet();
  }

  /** Returns the stages of a request that ran here, once for each run. */
  public List<String> runsOf(String requestId) {
    return List.copyOf(runsByRequest.getOrDefault(requestId, List.of()));
  }

  /** Returns how often a non-repeatable call of a key ran here. */
  public long runsOfKey(String idempotencyKey) {
    AtomicLong count = runsByKey.get(idempotencyKey);
    return count == null ? 0 : count.get();
  }

  /** Returns how many calls ran. */
  public long total() {
    return runs.get();
  }

  /** Returns how many calls were cancelled before their end. */
  public long totalCancelled() {
    return cancelled.get();
  }
}
