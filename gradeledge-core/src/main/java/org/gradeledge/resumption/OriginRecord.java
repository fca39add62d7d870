package org.gradeledge.resumption;

import java.util.Objects;

/**
 * Says where a stream began.
 *
 * @param requestId id of the request that brought the first event
 * @param origin service and software version of the upstream that sent it
 * @param retentionMillis how long the caller may still resume the stream
 * @since 0.3
 */
public record OriginRecord(String requestId, StreamOrigin origin, long retentionMillis) {

  /** Requires the id and the origin. */
  public OriginRecord {
    Objects.requireNonNull(requestId, "request id must not be null");
    Objects.requireNonNull(origin, "origin must not be null");
  }
}
