package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.gradeledge.peer.PeerMessageType;

/**
 * Asks other boxes for one document, one at a time, as long as this box has none as new. Confined
 * to the event loop.
 */
final class DocumentFetcher<A> {

  private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(800);

  private final MeshConnections connections;
  private final EventLoop loop;
  private final PeerMessageType<DocumentRequest> requestType;
  private final Class<A> answerType;
  private final LongSupplier ownRevision;
  private final BiConsumer<String, A> consumer;
  private boolean fetching;

  /**
   * Creates the learner.
   *
   * @param ownRevision revision that this box has
   * @param taker takes what a box answered
   */
  DocumentFetcher(
      MeshConnections links,
      EventLoop loop,
      PeerMessageType<DocumentRequest> question,
      Class<A> answerType,
      LongSupplier ownRevision,
      BiConsumer<String, A> taker) {
    this.connections = links;
    this.loop = loop;
    this.requestType = question;
    this.answerType = answerType;
    this.ownRevision = ownRevision;
    this.consumer = taker;
  }

  /** Asks a box after a delay, unless this box has a revision as new by then. */
  void scheduleFetch(String box, long revision, long delayMillis) {
    if (revision > ownRevision.getAsLong()) {
      loop.schedule(() -> fetch(box, revision), delayMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void fetch(String box, long revision) {
    if (fetching || ownRevision.getAsLong() >= revision) {
      return;
    }
    fetching = true;
    connections
        .request(
            box,
            requestType,
            new DocumentRequest(ownRevision.getAsLong()),
            answerType,
            RESPONSE_TIMEOUT)
        .doFinally(signal -> loop.execute(() -> fetching = false))
        .subscribe(answer -> loop.execute(() -> consumer.accept(box, answer)), failure -> {});
  }
}
