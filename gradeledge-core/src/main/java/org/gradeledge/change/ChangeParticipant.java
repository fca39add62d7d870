package org.gradeledge.change;

import org.gradeledge.configuration.ConfigurationRegistry;
import org.gradeledge.configuration.PipelineFileReader;
import org.gradeledge.configuration.PipelineVersion;
import org.gradeledge.membership.Membership;
import org.gradeledge.peer.PeerNetwork;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;

/**
 * What a member does when a submitter asks it to prepare, install or withdraw. Thread-safe.
 *
 * @since 0.1
 */
public final class ChangeParticipant {

  private final ConfigurationRegistry registry;
  private final Membership membership;
  private final PipelineFileReader reader;
  private final VersionFetcher fetcher;

  /** Creates a participant. */
  public ChangeParticipant(
      ConfigurationRegistry registry,
      Membership membership,
      PipelineFileReader reader,
      VersionFetcher fetcher) {
    this.registry = registry;
    this.membership = membership;
    this.reader = reader;
    this.fetcher = fetcher;
  }

  /** Answers submitters from now on. */
  public void register(PeerNetwork peers) {
    peers.register(
        ChangeMessages.PREPARE, (from, prepare) -> Mono.fromSupplier(() -> prepare(prepare)));
    peers.register(ChangeMessages.INSTALL, (from, install) -> install(from.boxId(), install));
    peers.register(
        ChangeMessages.WITHDRAW,
        (from, withdraw) -> {
          registry.withdraw(withdraw.pipeline(), withdraw.submissionId());
          return Mono.empty();
        });
  }

  ChangeMessages.Prepared prepare(ChangeMessages.Prepare prepare) {
    if (prepare.incarnation() != membership.incarnation()) {
      return new ChangeMessages.Prepared(false, "is not a member under this incarnation");
    }
    return reader
        .read(prepare.text())
        .fold(
            faults -> new ChangeMessages.Prepared(false, "finds the file faulty: " + faults),
            file ->
                prepareVersion(
                    new PipelineVersion(
                        prepare.version(), prepare.submissionId(), prepare.text(), file)));
  }

  private ChangeMessages.Prepared prepareVersion(PipelineVersion version) {
    boolean prepared = registry.prepare(version);
    Logger.debug("prepare: submission={} prepared={}", version.submissionId(), prepared);
    return new ChangeMessages.Prepared(
        prepared, prepared ? "" : "has another change of the pipeline open");
  }

  private Mono<ChangeMessages.Installed> install(String from, ChangeMessages.Install install) {
    Mono<Void> held =
        registry.installPrepared(install.pipeline(), install.submissionId())
            ? Mono.empty()
            : fetcher.installFromPeer(from, install.pipeline(), install.version());
    return held.then(
        Mono.fromSupplier(
            () -> new ChangeMessages.Installed(registry.activeVersionNumber(install.pipeline()))));
  }
}
