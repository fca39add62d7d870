package org.gradeledge.selection;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What one box has under way at an upstream.
 *
 * @param inFlight requests
 * @param memory memory that they may need or that results take, in the unit of the service: tokens
 *     of prompts or bytes of results
 * @since 0.2
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BoxLoad(int inFlight, long memory) {

  /** Returns whether anything is under way or held. */
  boolean isNonZero() {
    return inFlight > 0 || memory > 0;
  }
}
