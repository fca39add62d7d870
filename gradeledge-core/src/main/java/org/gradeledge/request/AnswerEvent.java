package org.gradeledge.request;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A part of the answer to a caller: tokens if the last stage streams, and finally one result.
 *
 * @since 0.1
 */
public sealed interface AnswerEvent {

  /**
   * One generated token.
   *
   * @param offset position in the stream, from 0 without gaps
   * @param text text of the token
   */
  record Token(long offset, String text) implements AnswerEvent {}

  /**
   * The complete answer, as the last event.
   *
   * @param version pipeline version under which the request ran
   * @param results outputs of the stages by stage name
   */
  record Result(long version, ObjectNode results) implements AnswerEvent {}
}
