package org.gradeledge.standin.engine;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** What really ran, for holding against what callers were told. Thread-safe. */
public final class RunLog {

  private final Map<String, List<String>> stagesByRequest = new ConcurrentHashMap<>();
  private final Map<String, AtomicLong> runCountByKey = new ConcurrentHashMap<>();
  private final AtomicLong runCount = new AtomicLong();
  private final AtomicLong cancellationCount = new AtomicLong();
  private final boolean detailed;

  /** Creates a log; a detailed one keeps each run, others only count. */
  public RunLog(boolean detailed) {
    this.detailed = detailed;
  }

  void recordRun(String requestId, String stage, String idempotencyKey) {
    runCount.incrementAndGet();
    if (detailed) {
      stagesByRequest.computeIfAbsent(requestId, id -> new CopyOnWriteArrayList<>()).add(stage);
      if (!idempotencyKey.isEmpty()) {
        runCountByKey.computeIfAbsent(idempotencyKey, key -> new AtomicLong()).incrementAndGet();
      }
    }
  }

  void recordCancellation() {
    cancellationCount.incrementAndGet();
  }

  /** Returns the stages of a request that ran here, once for each run. */
  public List<String> stagesRunFor(String requestId) {
    return List.copyOf(stagesByRequest.getOrDefault(requestId, List.of()));
  }

  /** Returns how often a non-repeatable call of a key ran here. */
  public long runCountOfKey(String idempotencyKey) {
    AtomicLong count = runCountByKey.get(idempotencyKey);
    return count == null ? 0 : count.get();
  }

  /** Returns how many calls ran. */
  public long runCount() {
    return runCount.get();
  }

  /** Returns how many calls were cancelled before their end. */
  public long cancellationCount() {
    return cancellationCount.get();
  }
}
