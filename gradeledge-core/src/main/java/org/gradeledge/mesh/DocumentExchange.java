package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import java.util.List;
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.discovery.UpstreamRegistry;

/**
 * Learns from other boxes the configuration and the list of upstreams that this one could not read
 * itself, and gives out its own. Confined to the event loop.
 */
final class DocumentExchange {

  /** A box that reads the platform itself needs no other one for what is new. */
  private static final long FETCH_DELAY_MILLIS = 150;

  private final DeploymentRegistry deployments;
  private final UpstreamRegistry upstreams;
  private final ListTrustTracker listTrust;
  private final DocumentFetcher<DocumentAnswer> configurationFetcher;
  private final DocumentFetcher<UpstreamList> upstreamListFetcher;

  DocumentExchange(
      MeshConnections links,
      EventLoop loop,
      DeploymentRegistry deployments,
      UpstreamRegistry upstreams,
      ListTrustTracker doubts) {
    this.listTrust = doubts;
    this.deployments = deployments;
    this.upstreams = upstreams;
    this.configurationFetcher =
        new DocumentFetcher<>(
            links,
            loop,
            MeshMessages.CONFIGURATION,
            DocumentAnswer.class,
            deployments::revision,
            (box, answer) -> deployments.offer(answer.document(), box));
    this.upstreamListFetcher =
        new DocumentFetcher<>(
            links,
            loop,
            MeshMessages.UPSTREAMS,
            UpstreamList.class,
            upstreams::revision,
            (box, list) -> applyList(list));
  }

  /** A list that is doubted must be known to be before what it lacks is looked at. */
  private void applyList(UpstreamList list) {
    if (list.doubted()) {
      listTrust.onUnconfirmedList();
    }
    upstreams.replaceAll(list.revision(), list.upstreams());
  }

  DocumentAnswer configuration() {
    return new DocumentAnswer(
        deployments.current().map(held -> held.document()).orElse(new byte[0]));
  }

  UpstreamList upstreamList() {
    return new UpstreamList(
        upstreams.revision(), List.copyOf(upstreams.listed()), upstreams.areRemovalsUntrusted());
  }

  /** Asks a box for its configuration unless this box has one as new by then. */
  void scheduleConfigurationFetch(String box, long revision) {
    configurationFetcher.scheduleFetch(box, revision, FETCH_DELAY_MILLIS);
  }

  /** Asks a box for its list of upstreams unless this box has one as new by then. */
  void scheduleUpstreamsFetch(String box, long revision, long delayMillis) {
    upstreamListFetcher.scheduleFetch(box, revision, delayMillis);
  }
}
