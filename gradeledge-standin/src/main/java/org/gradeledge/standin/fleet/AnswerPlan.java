package org.gradeledge.standin.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.gradeledge.standin.fleet.EngineRun.Extent;

/** How an engine sends an answer, and what it sends before and after it. Not thread-safe. */
public final class AnswerPlan {

  /** Bytes that are sent some time after the answer. */
  record LatePart(String text, int delayMillis) {}

  private final EngineAnswer answer;
  private final String text;
  private final StringBuilder before = new StringBuilder();
  private final StringBuilder after = new StringBuilder();
  private final StringBuilder beforeNext = new StringBuilder();
  private final List<LatePart> lateParts = new ArrayList<>();
  private int sentLength;
  private int pieces = 1;
  private ConnectionEnd end;

  /**
   * Creates the plan to send an answer whole.
   *
   * @param text the answer as it is sent
   */
  AnswerPlan(EngineAnswer answer, String text) {
    this.answer = answer;
    this.text = text;
    this.sentLength = text.length();
    this.end =
        answer.framing() == AnswerFraming.CONNECTION
            ? ConnectionEnd.CLOSE
            : ConnectionEnd.KEEP_OPEN;
  }

  EngineAnswer answer() {
    return answer;
  }

  void prepend(String bytes) {
    before.append(bytes);
  }

  void append(String bytes) {
    after.append(bytes);
  }

  void appendLater(String bytes, int delayMillis) {
    lateParts.add(new LatePart(bytes, delayMillis));
  }

  void prependToNext(String bytes) {
    beforeNext.append(bytes);
  }

  void sendInPieces(int count) {
    pieces = count;
  }

  void cut(AnswerCut cut, ConnectionEnd newEnd, Random random) {
    cutAfter(cut.position(text, random), newEnd);
  }

  /** Lets the answer stop after a number of bytes, unless it has no more. */
  void cutAfter(int length, ConnectionEnd newEnd) {
    sentLength = Math.min(sentLength, length);
    end = newEnd;
  }

  /** Returns how much of the answer is sent. */
  Extent extent() {
    if (sentLength == text.length()) {
      return Extent.WHOLE;
    }
    return sentLength < AnswerCut.headLength(text) ? Extent.NO_HEAD : Extent.HEAD;
  }

  /**
   * Returns what is sent at once. Nothing follows an answer that ends with its connection, since it
   * would belong to its body.
   */
  String firstText() {
    return before + text.substring(0, sentLength) + (keepsOpen() ? after : "");
  }

  int pieces() {
    return pieces;
  }

  List<LatePart> lateParts() {
    return keepsOpen() ? lateParts : List.of();
  }

  String beforeNext() {
    return beforeNext.toString();
  }

  ConnectionEnd end() {
    return end;
  }

  private boolean keepsOpen() {
    return end == ConnectionEnd.KEEP_OPEN;
  }
}
