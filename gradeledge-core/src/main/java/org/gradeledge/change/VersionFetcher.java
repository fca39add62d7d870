package org.gradeledge.change;

import java.time.Duration;
import java.util.Optional;
import org.gradeledge.configuration.ConfigurationRegistry;
import org.gradeledge.configuration.PipelineFileReader;
import org.gradeledge.configuration.PipelineVersion;
import org.gradeledge.configuration.TextDigest;
import org.gradeledge.peer.PeerException;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.platform.ObjectStore;
import org.gradeledge.platform.PlatformException;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Brings accepted versions into force that this box does not hold: from what it has prepared, from
 * a peer that has it in force, or from the object store. Thread-safe.
 *
 * @since 0.1
 */
public final class VersionFetcher {

  private static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);

  private final ConfigurationRegistry registry;
  private final PeerNetwork peers;
  private final ObjectStore objects;
  private final PipelineFileReader reader;

  /** Creates a fetcher. */
  public VersionFetcher(
      ConfigurationRegistry registry,
      PeerNetwork peers,
      ObjectStore objects,
      PipelineFileReader reader) {
    this.registry = registry;
    this.peers = peers;
    this.objects = objects;
    this.reader = reader;
  }

  /** Answers peers that fetch from this box. */
  public void register() {
    peers.register(ChangeMessages.FETCH, (from, fetch) -> Mono.just(answerFetch(fetch)));
  }

  /** Completes once this box has the head's version, or a later one, in force. */
  public Mono<Void> installAccepted(PipelineHead head) {
    return Mono.defer(
        () -> {
          boolean held =
              registry.activeVersionNumber(head.pipeline()) >= head.version()
                  || registry.installPrepared(head.pipeline(), head.submissionId());
          return held
              ? Mono.empty()
              : installFromAnyPeer(head).onErrorResume(e -> installFromObjectStore(head));
        });
  }

  /** Completes once this box has a version at least as high as a peer's. */
  public Mono<Void> installFromPeer(String peerId, String pipeline, long version) {
    return Mono.defer(
        () ->
            registry.activeVersionNumber(pipeline) >= version
                ? Mono.empty()
                : fetchFromPeer(peerId, pipeline, version));
  }

  /** Returns the text of a version as the object store keeps it. */
  public Mono<byte[]> fetchText(PipelineHead head) {
    return objects
        .get(head.objectKey())
        .flatMap(
            text ->
                text.filter(bytes -> TextDigest.sha256(bytes).equals(head.digest()))
                    .map(Mono::just)
                    .orElseGet(
                        () ->
                            Mono.error(
                                new PlatformException(
                                    head.objectKey() + " must be stored", null))));
  }

  private Mono<Void> installFromAnyPeer(PipelineHead head) {
    return Flux.fromIterable(peers.connectedPeers())
        .concatMapDelayError(
            peer ->
                fetchFromPeer(peer.boxId(), head.pipeline(), head.version())
                    .thenReturn(Boolean.TRUE)
                    .onErrorResume(PeerException.class, e -> Mono.empty()))
        .next()
        .switchIfEmpty(Mono.error(() -> new PeerException("no peer has " + head.pipeline(), null)))
        .then();
  }

  private Mono<Void> fetchFromPeer(String peerId, String pipeline, long version) {
    return peers
        .request(
            peerId,
            ChangeMessages.FETCH,
            new ChangeMessages.Fetch(pipeline),
            ChangeMessages.Fetched.class,
            PEER_TIMEOUT)
        .flatMap(
            fetched -> {
              if (fetched.version() < version || fetched.text().isEmpty()) {
                return Mono.error(new PeerException(peerId + " has no such version", null));
              }
              install(fetched.version(), fetched.submissionId(), fetched.text().get());
              return Mono.empty();
            });
  }

  private Mono<Void> installFromObjectStore(PipelineHead head) {
    return fetchText(head)
        .doOnNext(text -> install(head.version(), head.submissionId(), text))
        .then();
  }

  private void install(long version, String submissionId, byte[] text) {
    registry.install(
        new PipelineVersion(
            version,
            submissionId,
            text,
            reader
                .read(text)
                .getOrElseThrow(
                    faults ->
                        new PlatformException("an accepted file must be valid: " + faults, null))));
  }

  private ChangeMessages.Fetched answerFetch(ChangeMessages.Fetch fetch) {
    Optional<PipelineVersion> held = registry.findActive(fetch.pipeline());
    return new ChangeMessages.Fetched(
        held.map(PipelineVersion::version).orElse(0L),
        held.map(PipelineVersion::submissionId).orElse(""),
        held.map(PipelineVersion::text));
  }
}
