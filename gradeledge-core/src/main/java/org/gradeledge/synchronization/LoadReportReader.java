package org.gradeledge.synchronization;

import org.gradeledge.routing.UpstreamDirectory;
import org.gradeledge.routing.UpstreamState;
import org.gradeledge.upstream.UpstreamProtocol;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * One round of asking every upstream for its load.
 *
 * @since 0.1
 */
public final class LoadReportReader {

  private static final int MAX_CONCURRENT_READS = 16;

  private final UpstreamDirectory upstreams;
  private final UpstreamProtocol protocol;

  /** Creates a reader. */
  public LoadReportReader(UpstreamDirectory upstreams, UpstreamProtocol protocol) {
    this.upstreams = upstreams;
    this.protocol = protocol;
  }

  /** Asks all upstreams; those that do not answer keep their last report. */
  public Mono<Void> readAll() {
    return Flux.fromIterable(upstreams.all()).flatMap(this::readOne, MAX_CONCURRENT_READS).then();
  }

  private Mono<Void> readOne(UpstreamState state) {
    return protocol
        .fetchLoadReport(state.definition())
        .doOnNext(state::applyReport)
        .onErrorComplete()
        .then();
  }
}
