package org.gradeledge.upstream;

import org.gradeledge.configuration.UpstreamDefinition;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Protocol of upstream calls. Only this package depends on the wire format.
 *
 * @since 0.1
 */
public interface UpstreamProtocol {

  /**
   * Calls an upstream. Emits zero or more tokens with offsets and then exactly one answer, or fails
   * with {@link UpstreamException}. Events of other calls are never emitted. Cancelling the
   * subscription cancels the call at the upstream.
   */
  Flux<UpstreamEvent> call(UpstreamCall call);

  /** Requests the load report of an upstream; fails with {@link UpstreamException}. */
  Mono<LoadReport> fetchLoadReport(UpstreamDefinition upstream);
}
