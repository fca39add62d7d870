package org.gradeledge.upstream;

import org.gradeledge.configuration.UpstreamDefinition;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * How to speak with upstreams; nothing outside this package knows the shapes on the wire.
 *
 * @since 0.1
 */
public interface UpstreamProtocol {

  /**
   * Makes a call. The events are zero or more tokens with offsets, then exactly one answer; the
   * stream fails with {@link UpstreamException} otherwise. Only events of this very call are
   * emitted. Cancelling cancels the call at the upstream.
   */
  Flux<UpstreamEvent> call(UpstreamCall call);

  /** Asks an upstream for its load; fails with {@link UpstreamException}. */
  Mono<LoadReport> fetchLoadReport(UpstreamDefinition upstream);
}
