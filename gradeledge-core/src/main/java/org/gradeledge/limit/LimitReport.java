package org.gradeledge.limit;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What a box tells others of the limit of one start of an upstream.
 *
 * @param incarnationId start of the upstream
 * @param requestsPer1000Seconds requests that it takes in 1,000 s from all boxes together; {@link
 *     #LIFTED} where it names no limit any more
 * @param ageMillis how long ago it said so, at least
 * @since 0.4
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LimitReport(String incarnationId, long requestsPer1000Seconds, long ageMillis) {

  /** In place of a rate: there is no limit any more. */
  public static final long LIFTED = -1;
}
