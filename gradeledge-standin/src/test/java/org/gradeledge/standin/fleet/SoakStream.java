package org.gradeledge.standin.fleet;

import java.util.List;
import java.util.Set;

/**
 * A stream of a soak caller over all its attempts.
 *
 * @param versions software versions of the engines that sent its events
 * @param attempts its attempts in order
 * @param endedIncomplete whether an answer ended in order before the last event
 */
record SoakStream(Set<String> versions, List<Attempt> attempts, boolean endedIncomplete) {

  /**
   * One attempt.
   *
   * @param resumption whether the stream had begun before
   * @param counted whether two sound engines of its version served before and after the attempt;
   *     true for attempts that begin a stream
   * @param progressed whether the attempt brought any event
   */
  record Attempt(boolean resumption, boolean counted, boolean progressed) {}
}
