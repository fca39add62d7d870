package org.gradeledge.standin.fleet;

import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

/** The deviations of an engine's answers, drawn from a seed. Thread-safe. */
public final class EngineDeviations {

  private record Active(List<AnswerDeviation> deviations, int oneIn, Random random) {}

  private static final Active NONE = new Active(List.of(), 1, new Random(0));

  private final AtomicInteger answerCount = new AtomicInteger();
  private volatile Active active = NONE;

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

  /** Plans how an answer is sent. */
  AnswerPlan plan(EngineAnswer answer, UnaryOperator<String> headRewriter) {
    Active current = active;
    Random random = current.random();
    boolean affected = !current.deviations().isEmpty() && random.nextInt(current.oneIn()) == 0;
    List<AnswerDeviation> deviations = affected ? current.deviations() : List.of();
    EngineAnswer altered = answer;
    for (AnswerDeviation deviation : deviations) {
      altered = deviation.alter(altered, random);
    }
    AnswerPlan plan = new AnswerPlan(altered, headRewriter.apply(altered.text()));
    deviations.forEach(deviation -> deviation.change(plan, random));
    if (affected) {
      answerCount.incrementAndGet();
    }
    return plan;
  }
}
