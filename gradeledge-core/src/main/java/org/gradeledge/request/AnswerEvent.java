package org.gradeledge.request;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * What goes back to a caller: tokens of the last stage where it generates, then one result.
 *
 * @since 0.1
 */
public sealed interface AnswerEvent {

  /**
   * One token.
   *
   * @param offset counts up from 0 without gaps
   * @param text the token
   */
  record Token(long offset, String text) implements AnswerEvent {}

  /**
   * The whole answer; nothing follows it.
   *
   * @param version version of the pipeline that the request ran under
   * @param results outputs of the stages by name
   */
  record Result(long version, ObjectNode results) implements AnswerEvent {}
}
