package org.gradeledge.standin.fleet;

import java.util.Random;

/**
 * A second answer to a request, with the id and signature of the first.
 *
 * @param timing when it is sent
 * @param otherStatus whether its status is a success after a failure and the other way round
 * @param framing how it shows where its body ends
 * @param cut where it stops
 */
public record SurplusAnswer(
    SurplusTiming timing, boolean otherStatus, AnswerFraming framing, AnswerCut cut)
    implements AnswerDeviation {

  /** Draws a second answer. */
  public static SurplusAnswer draw(SurplusTiming timing, Random random) {
    return new SurplusAnswer(
        timing,
        random.nextBoolean(),
        draw(AnswerFraming.values(), random),
        draw(AnswerCut.values(), random));
  }

  private static <T> T draw(T[] values, Random random) {
    return values[random.nextInt(values.length)];
  }

  @Override
  public void change(AnswerPlan plan, Random random) {
    EngineAnswer first = plan.answer();
    EngineAnswer second =
        first.withStatus(otherStatus ? otherThan(first.status()) : first.status());
    String text = second.withFraming(framing).withHeaderOrder(order(random)).text();
    timing.schedule(plan, text.substring(0, cut.position(text, random)), random);
  }

  /** Keeps the usual order of the headers where the place of the cut depends on it. */
  private long order(Random random) {
    return cut == AnswerCut.HEADER_VALUE ? 0 : random.nextLong();
  }

  private static int otherThan(int status) {
    return status == EngineAnswer.OK ? EngineAnswer.FAILED : EngineAnswer.OK;
  }
}
