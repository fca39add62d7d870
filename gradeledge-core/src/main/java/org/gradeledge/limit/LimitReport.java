package org.gradeledge.limit;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The rate limit of one incarnation of an upstream, as reported to other boxes.
 *
 * @param incarnationId incarnation of the upstream
 * @param requestsPer1000Seconds requests that it accepts in 1,000 s from all boxes together, or
 *     {@link #LIFTED}
 * @param ageMillis minimum time since the upstream announced the limit
 * @since 0.4
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LimitReport(String incarnationId, long requestsPer1000Seconds, long ageMillis) {

  /** Replaces the rate when the limit was lifted. */
  public static final long LIFTED = -1;
}
