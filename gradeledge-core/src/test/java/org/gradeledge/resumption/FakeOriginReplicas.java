package org.gradeledge.resumption;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Replicas that store records in the test and answer when the test lets them. */
public final class FakeOriginReplicas implements OriginReplicas {

  private Map<Long, Set<Long>> stored = new HashMap<>();
  private final List<Runnable> questions = new ArrayList<>();
  private boolean delayed;
  private boolean unreachable;

  @Override
  public void store(OriginRecord originRecord) {
    if (unreachable) {
      return;
    }
    stored
        .computeIfAbsent(originRecord.streamKey(), key -> new HashSet<>())
        .add(originRecord.originHash());
  }

  @Override
  public void find(long streamKey, Consumer<Set<Long>> listener) {
    Set<Long> found = unreachable ? Set.of() : stored.getOrDefault(streamKey, Set.of());
    Runnable answer = () -> listener.accept(found);
    if (delayed) {
      questions.add(answer);
    } else {
      answer.run();
    }
  }

  /** Returns the hashes of the origins that were stored for the stream that a request began. */
  public Set<Long> storedFor(String requestId) {
    return stored.getOrDefault(OriginRecord.streamKey(requestId), Set.of());
  }

  /** Stores records at the same boxes as another instance. */
  public void shareWith(FakeOriginReplicas other) {
    stored = other.stored;
  }

  /** Sets whether records and questions are lost. */
  public void setUnreachable(boolean lost) {
    unreachable = lost;
  }

  /** Holds the answers back until {@link #answerAll}. */
  public void delayAnswers() {
    delayed = true;
  }

  /** Answers all questions that were held back. */
  public void answerAll() {
    List<Runnable> pending = List.copyOf(questions);
    questions.clear();
    pending.forEach(Runnable::run);
  }
}
