package org.gradeledge.standin.fleet;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** The incarnations of an engine and what each of them has run. Thread-safe. */
final class EngineHistory {

  private final String engineId;
  private final List<ReceivedRequest> executedRequests = new CopyOnWriteArrayList<>();
  private final List<Integer> executedBeforeIncarnation = new CopyOnWriteArrayList<>(List.of(0));
  private final Collection<EngineRun> runs = new ConcurrentLinkedQueue<>();
  private final Collection<ReceivedRequest> readAfterAnswer = new ConcurrentLinkedQueue<>();
  private final AtomicInteger signatureCount = new AtomicInteger();
  private volatile long startedAtMillis = System.currentTimeMillis();

  EngineHistory(String engineId) {
    this.engineId = engineId;
  }

  void beginIncarnation() {
    startedAtMillis = Math.max(startedAtMillis + 1, System.currentTimeMillis());
    executedBeforeIncarnation.add(executedRequests.size());
  }

  /** Returns the number of the current incarnation, from 0. */
  int incarnation() {
    return executedBeforeIncarnation.size() - 1;
  }

  /** Returns the start time of the current incarnation, in milliseconds since the epoch. */
  long startedAtMillis() {
    return startedAtMillis;
  }

  /** Returns the number of requests that an incarnation executed. */
  int executedDuring(int incarnation) {
    int end =
        incarnation == incarnation()
            ? executedRequests.size()
            : executedBeforeIncarnation.get(incarnation + 1);
    return end - executedBeforeIncarnation.get(incarnation);
  }

  /** Returns the executed requests in order. */
  List<ReceivedRequest> executedRequests() {
    return executedRequests;
  }

  /** Returns a signature that names the engine, its incarnation and the run. */
  String nextSignature() {
    return engineId + "." + incarnation() + "." + signatureCount.incrementAndGet();
  }

  /** Records a run; to be called before any of its answer is sent. */
  void recordRun(EngineRun run) {
    runs.add(run);
  }

  /** Records a request whose body was read after its answer was sent. */
  void recordReadAfterAnswer(ReceivedRequest request) {
    readAfterAnswer.add(request);
  }

  /** Returns the requests whose bodies were read after their answers were sent. */
  List<ReceivedRequest> readAfterAnswer() {
    return List.copyOf(readAfterAnswer);
  }

  /** Returns the runs so far. */
  List<EngineRun> runs() {
    return List.copyOf(runs);
  }
}
