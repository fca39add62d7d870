package org.gradeledge.selection;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What one box has under way at an upstream.
 *
 * @param running requests
 * @param tokens memory that they may need or that results take, in the unit of the service: tokens
 *     of prompts or bytes of results
 * @since 0.2
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LoadShare(int running, long tokens) {

  /** Returns whether anything is under way or held. */
  boolean isSomething() {
    return running > 0 || tokens > 0;
  }
}
