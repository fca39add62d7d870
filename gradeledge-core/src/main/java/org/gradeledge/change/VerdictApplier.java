package org.gradeledge.change;

import java.util.List;
import org.gradeledge.configuration.ConfigurationRegistry;
import org.gradeledge.configuration.PipelineVersion;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Applies verdicts found in reads of the table: installs accepted versions and withdraws prepared
 * versions that were refused. Thread-safe.
 *
 * @since 0.1
 */
public final class VerdictApplier {

  private final ConfigurationRegistry registry;
  private final VersionFetcher fetcher;

  /** Creates an applier for the versions in a registry. */
  public VerdictApplier(ConfigurationRegistry registry, VersionFetcher fetcher) {
    this.registry = registry;
    this.fetcher = fetcher;
  }

  /** Returns the versions prepared now, to pass to {@link #apply} with a read that starts later. */
  public List<PipelineVersion> preparedBeforeRead() {
    return registry.preparedVersions();
  }

  /**
   * Applies the verdicts of a read; completes once all its accepted versions are in force.
   *
   * @param preparedBeforeRead versions prepared before the read started. They were refused if the
   *     read contains them neither as staged nor as accepted; versions prepared later may have been
   *     staged after the read.
   */
  public Mono<Void> apply(ChangeHeads heads, List<PipelineVersion> preparedBeforeRead) {
    return Flux.fromIterable(heads.accepted().values())
        .concatMap(fetcher::installAccepted)
        .then(
            Mono.fromRunnable(
                () -> preparedBeforeRead.forEach(version -> withdrawIfRefused(heads, version))));
  }

  private void withdrawIfRefused(ChangeHeads heads, PipelineVersion version) {
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
