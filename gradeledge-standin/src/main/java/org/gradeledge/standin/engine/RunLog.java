package org.gradeledge.standin.engine;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** Record of the executed calls, to verify the results that callers received. Thread-safe. */
public final class RunLog {

  private final Map<String, List<String>> stagesByRequest = new ConcurrentHashMap<>();
  private final Map<String, AtomicLong> runCountByKey = new ConcurrentHashMap<>();
  private final AtomicLong runCount = new AtomicLong();
  private final AtomicLong cancellationCount = new AtomicLong();
  private final boolean detailed;

  /** Creates a log that records each run if detailed, and only counts otherwise. */
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

  /** Returns the stages that ran for a request, with one entry per run. */
  public List<String> stagesRunFor(String requestId) {
    return List.copyOf(stagesByRequest.getOrDefault(requestId, List.of()));
  }

  /** Returns the number of runs with an idempotency key. */
  public long runCountOfKey(String idempotencyKey) {
    AtomicLong count = runCountByKey.get(idempotencyKey);
    return count == null ? 0 : count.get();
  }

  /** Returns the number of calls that ran. */
  public long runCount() {
    return runCount.get();
  }

  /** Returns the number of calls that were cancelled before they completed. */
  public long cancellationCount() {
    return cancellationCount.get();
  }
}
