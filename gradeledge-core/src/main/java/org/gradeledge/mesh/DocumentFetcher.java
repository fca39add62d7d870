package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.gradeledge.peer.PeerMessageType;

/**
 * Requests one document from other boxes, one request at a time, while this box has an older
 * revision. Confined to the event loop.
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
   * Creates the fetcher.
   *
   * @param ownRevision supplies the revision that this box has
   * @param consumer receives the address of the responding box and its response
   */
  DocumentFetcher(
      MeshConnections connections,
      EventLoop loop,
      PeerMessageType<DocumentRequest> requestType,
      Class<A> answerType,
      LongSupplier ownRevision,
      BiConsumer<String, A> consumer) {
    this.connections = connections;
    this.loop = loop;
    this.requestType = requestType;
    this.answerType = answerType;
    this.ownRevision = ownRevision;
    this.consumer = consumer;
  }

  /** Requests the document after a delay, unless this box has that revision by then. */
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
