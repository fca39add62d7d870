package org.gradeledge.change;

import java.util.List;
import org.gradeledge.configuration.ConfigurationRegistry;
import org.gradeledge.configuration.PipelineVersion;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Learns verdicts from reads of the table: brings what was accepted into force and drops what was
 * refused. Thread-safe.
 *
 * @since 0.1
 */
public final class VerdictApplier {

  private final ConfigurationRegistry registry;
  private final VersionFetcher fetcher;

  /** Creates a learner. */
  public VerdictApplier(ConfigurationRegistry registry, VersionFetcher fetcher) {
    this.registry = registry;
    this.fetcher = fetcher;
  }

  /** Returns what is prepared now, to be given to {@link #apply} with a read that starts later. */
  public List<PipelineVersion> preparedBeforeRead() {
    return registry.preparedVersions();
  }

  /**
   * Learns from a read; completes once every accepted version in it is in force.
   *
   * @param open what was prepared before the read started: only of these does "neither staged nor
   *     accepted" mean refused, as others may have been staged after the read
   */
  public Mono<Void> apply(ChangeHeads heads, List<PipelineVersion> open) {
    return Flux.fromIterable(heads.accepted().values())
        .concatMap(fetcher::installAccepted)
        .then(Mono.fromRunnable(() -> open.forEach(version -> dropIfRefused(heads, version))));
  }

  private void dropIfRefused(ChangeHeads heads, PipelineVersion version) {
    boolean stillStaged =
        heads
            .stagedOf(version.pipeline())
            .filter(staged -> staged.record().id().equals(version.submissionId()))
            .isPresent();
    if (!stillStaged) {
      registry.withdraw(version.pipeline(), version.submissionId());
    }
  }
}
