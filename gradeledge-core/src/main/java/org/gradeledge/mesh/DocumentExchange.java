package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.peer.PeerNetwork;

/**
 * Learns from other boxes the configuration and the list of upstreams that this one could not read
 * itself, and gives out its own. Confined to the event loop.
 */
final class DocumentExchange {

  /** A box that reads the platform itself needs no other one for what is new. */
  private static final long LEARN_DELAY_MILLIS = 150;

  private static final Duration ANSWER_LIMIT = Duration.ofMillis(800);

  private final PeerNetwork network;
  private final EventLoop loop;
  private final DeploymentRegistry deployments;
  private final UpstreamRegistry upstreams;
  private boolean learningConfiguration;
  private boolean learningUpstreams;

  DocumentExchange(
      PeerNetwork network,
      EventLoop loop,
      DeploymentRegistry deployments,
      UpstreamRegistry upstreams) {
    this.network = network;
    this.loop = loop;
    this.deployments = deployments;
    this.upstreams = upstreams;
  }

  DocumentAnswer configuration() {
    return new DocumentAnswer(
        deployments.current().map(held -> held.document()).orElse(new byte[0]));
  }

  UpstreamList upstreamList() {
    return new UpstreamList(upstreams.revision(), List.copyOf(upstreams.listed()));
  }

  /** Asks a box for its configuration unless this box has one as new by then. */
  void learnConfigurationSoon(String box, long revision) {
    if (revision > deployments.revision()) {
      loop.schedule(
          () -> learnConfiguration(box, revision), LEARN_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void learnConfiguration(String box, long revision) {
    if (learningConfiguration || deployments.revision() >= revision) {
      return;
    }
    learningConfiguration = true;
    network
        .ask(
            box,
            MeshMessages.CONFIGURATION,
            new DocumentRequest(deployments.revision()),
            DocumentAnswer.class,
            ANSWER_LIMIT)
        .doFinally(signal -> loop.execute(() -> learningConfiguration = false))
        .subscribe(
            answer -> loop.execute(() -> deployments.offer(answer.document(), box)), failure -> {});
  }

  /** Asks a box for its list of upstreams unless this box has one as new by then. */
  void learnUpstreamsSoon(String box, long revision, long delayMillis) {
    if (revision > upstreams.revision()) {
      loop.schedule(() -> learnUpstreams(box, revision), delayMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void learnUpstreams(String box, long revision) {
    if (learningUpstreams || upstreams.revision() >= revision) {
      return;
    }
    learningUpstreams = true;
    network
        .ask(
            box,
            MeshMessages.UPSTREAMS,
            new DocumentRequest(upstreams.revision()),
            UpstreamList.class,
            ANSWER_LIMIT)
        .doFinally(signal -> loop.execute(() -> learningUpstreams = false))
        .subscribe(
            list -> loop.execute(() -> upstreams.replaceAll(list.revision(), list.upstreams())),
            failure -> {});
  }
}
