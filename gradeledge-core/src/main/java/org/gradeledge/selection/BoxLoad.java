package org.gradeledge.selection;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The load that one box puts on an upstream.
 *
 * @param inFlight requests in flight
 * @param memory memory that requests may require or results occupy, in the unit of the service:
 *     tokens of prompts or bytes of results
 * @since 0.2
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BoxLoad(int inFlight, long memory) {

  boolean isNonZero() {
    return inFlight > 0 || memory > 0;
  }
}
