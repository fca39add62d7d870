package org.gradeledge.connection;

import org.gradeledge.discovery.UpstreamRecord;

/**
 * Sends requests to upstreams.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface UpstreamCaller {

  /** Sends a request; the listener is never called before this returns. */
  UpstreamCall call(UpstreamRecord target, OutgoingRequest request, CallListener listener);
}
