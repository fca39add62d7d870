package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/**
 * The deviations of an engine's answers, drawn from a seed. No answer deviates while the engine
 * announces something, so that callers can read what it announces. Thread-safe.
 */
public final class EngineDeviations {

  private record Active(List<AnswerDeviation> deviations, int oneIn, Random random) {}

  private static final Active NONE = new Active(List.of(), 1, new Random(0));

  private final AtomicInteger answerCount = new AtomicInteger();
  private final Set<EngineConnection> affected = ConcurrentHashMap.newKeySet();
  private final BooleanSupplier suspended;
  private volatile Active active = NONE;

  /**
   * Creates no deviations.
   *
   * @param suspended whether answers are as usual for now
   */
  EngineDeviations(BooleanSupplier suspended) {
    this.suspended = suspended;
  }

  /**
   * Lets further answers deviate.
   *
   * @param deviations the deviations that each affected answer has
   * @param oneIn one answer in this many is affected
   * @param seed seed of all choices
   */
  public void begin(List<AnswerDeviation> deviations, int oneIn, long seed) {
    active = new Active(List.copyOf(deviations), oneIn, new Random(seed));
  }

  /** Lets further answers be as usual. */
  public void end() {
    active = NONE;
  }

  /** Returns whether any answer deviates. */
  boolean isActive() {
    return !active.deviations().isEmpty();
  }

  /** Returns how many answers had deviations so far. */
  public int answerCount() {
    return answerCount.get();
  }

  /** Returns whether an answer is sent before the body of its request is read. */
  boolean answerBeforeBody() {
    return !suspended.getAsBoolean()
        && active.deviations().stream().anyMatch(AnswerDeviation::isBeforeBody);
  }

  /** Plans how an answer is sent on a connection. */
  AnswerPlan plan(EngineAnswer answer, EngineConnection connection) {
    Active current = active;
    if (current.deviations().isEmpty() || current.random().nextInt(current.oneIn()) > 0) {
      return plan(answer, connection, NONE);
    }
    affected.add(connection);
    if (suspended.getAsBoolean()) {
      return plan(answer, connection, NONE);
    }
    answerCount.incrementAndGet();
    return plan(answer, connection, current);
  }

  private static AnswerPlan plan(EngineAnswer answer, EngineConnection connection, Active drawn) {
    EngineAnswer altered = answer;
    for (AnswerDeviation deviation : drawn.deviations()) {
      altered = deviation.alter(altered, drawn.random());
    }
    AnswerPlan plan = new AnswerPlan(altered, connection.addAnnouncements(altered.text()));
    drawn.deviations().forEach(deviation -> deviation.change(plan, drawn.random()));
    return plan;
  }

  /** Forgets a connection that was closed. */
  void forget(EngineConnection connection) {
    affected.remove(connection);
  }

  /** Resets the connections on which bytes may be left that belong to no answer. */
  void resetAffectedConnections() {
    for (EngineConnection connection : affected) {
      try {
        connection.reset();
      } catch (IOException e) {
        throw new UncheckedIOException("could not reset a connection", e);
      }
    }
  }
}
