package org.gradeledge.upstream;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What an upstream sends for a call: tokens, for kinds that stream, then one answer.
 *
 * @since 0.1
 */
public sealed interface UpstreamEvent {

  /**
   * One token of a stream.
   *
   * @param offset counts up from 0 without gaps
   * @param text the token
   */
  record Token(long offset, String text) implements UpstreamEvent {}

  /**
   * The whole answer.
   *
   * @param output the result in the shape of the stage's kind; for a stream, without its text
   * @param tokensIn tokens read, 0 where the upstream does not say
   * @param tokensOut tokens generated
   */
  record Answer(JsonNode output, long tokensIn, long tokensOut) implements UpstreamEvent {}
}
