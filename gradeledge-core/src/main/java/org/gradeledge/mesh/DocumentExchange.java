package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.peer.PeerNetwork;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Fetches the configuration and the list of upstreams from other boxes when this box could not read
 * them from the platform, and provides its own to them. Confined to the event loop.
 */
final class DocumentExchange {

  /** Lets this box read a new configuration from the platform itself first. */
  private static final long FETCH_DELAY_MILLIS = 150;

  /** Shorter than the time after which the asking box gives up. */
  private static final Duration MAX_HOLD = Duration.ofMillis(400);

  private final EventLoop loop;
  private final DeploymentRegistry deployments;
  private final UpstreamRegistry upstreams;
  private final ListTrustTracker listTrust;
  private final DocumentFetcher<DocumentAnswer> configurationFetcher;
  private final DocumentFetcher<UpstreamList> upstreamListFetcher;

  /** Completes when the configuration changes the next time. */
  private Sinks.Empty<Void> changed = Sinks.empty();

  DocumentExchange(
      MeshConnections connections,
      EventLoop loop,
      DeploymentRegistry deployments,
      UpstreamRegistry upstreams,
      ListTrustTracker listTrust) {
    this.loop = loop;
    this.listTrust = listTrust;
    this.deployments = deployments;
    deployments.onChange(deployment -> notifyChanged());
    this.upstreams = upstreams;
    this.configurationFetcher =
        new DocumentFetcher<>(
            connections,
            loop,
            MeshMessages.CONFIGURATION,
            DocumentAnswer.class,
            deployments::revision,
            (box, answer) -> deployments.offer(answer.document(), box));
    this.upstreamListFetcher =
        new DocumentFetcher<>(
            connections,
            loop,
            MeshMessages.UPSTREAMS,
            UpstreamList.class,
            upstreams::revision,
            (box, list) -> applyList(list));
  }

  /** Registers the handlers that provide the documents of this box to others. */
  void registerHandlers(PeerNetwork network) {
    Scheduler scheduler = Schedulers.fromExecutor(loop);
    network.register(
        MeshMessages.CONFIGURATION,
        (from, request) ->
            Mono.defer(() -> configurationAfter(request.known(), scheduler))
                .subscribeOn(scheduler));
    network.register(
        MeshMessages.UPSTREAMS,
        (from, request) -> Mono.fromSupplier(this::upstreamList).subscribeOn(scheduler));
  }

  private void applyList(UpstreamList list) {
    if (list.doubted()) {
      // must be known before the upstreams missing from the list are removed
      listTrust.onUnconfirmedList();
    }
    upstreams.replaceAll(list.revision(), list.upstreams());
  }

  /**
   * Returns the configuration once it is newer than a revision, or after a while: a relay reports
   * revisions that it is still fetching itself.
   */
  private Mono<DocumentAnswer> configurationAfter(long knownRevision, Scheduler scheduler) {
    Mono<Void> newer =
        deployments.revision() > knownRevision
            ? Mono.empty()
            : changed.asMono().timeout(MAX_HOLD, Mono.empty(), scheduler);
    return newer.then(Mono.fromSupplier(this::configuration));
  }

  private void notifyChanged() {
    Sinks.Empty<Void> notified = changed;
    changed = Sinks.empty();
    notified.tryEmitEmpty();
  }

  private DocumentAnswer configuration() {
    return new DocumentAnswer(
        deployments.current().map(deployment -> deployment.document()).orElse(new byte[0]));
  }

  private UpstreamList upstreamList() {
    return new UpstreamList(
        upstreams.revision(), List.copyOf(upstreams.listed()), upstreams.areRemovalsUntrusted());
  }

  /**
   * Requests a configuration unless this box has that revision after the delay.
   *
   * @param reporter box that reported the revision; asked first, so that a relay distributes the
   *     configuration to the boxes that it informs
   * @param holder box that has the revision
   */
  void scheduleConfigurationFetch(String reporter, String holder, long revision) {
    List<String> boxes = reporter.equals(holder) ? List.of(holder) : List.of(reporter, holder);
    configurationFetcher.scheduleFetch(boxes, revision, FETCH_DELAY_MILLIS);
  }

  /** Requests the list of upstreams of a box unless this box has that revision after the delay. */
  void scheduleUpstreamsFetch(String box, long revision, long delayMillis) {
    upstreamListFetcher.scheduleFetch(List.of(box), revision, delayMillis);
  }
}
