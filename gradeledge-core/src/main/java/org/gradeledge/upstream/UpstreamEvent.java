package org.gradeledge.upstream;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Part of the response to a call: tokens for streaming stage kinds, then one answer.
 *
 * @since 0.1
 */
public sealed interface UpstreamEvent {

  /**
   * One token of a stream.
   *
   * @param offset position in the stream, from 0 without gaps
   * @param text text of the token
   */
  record Token(long offset, String text) implements UpstreamEvent {}

  /**
   * The complete answer.
   *
   * @param output result in the format of the stage kind; for a stream, without its text
   * @param tokensIn number of tokens read, 0 if the upstream does not report it
   * @param tokensOut number of tokens generated
   */
  record Answer(JsonNode output, long tokensIn, long tokensOut) implements UpstreamEvent {}
}
