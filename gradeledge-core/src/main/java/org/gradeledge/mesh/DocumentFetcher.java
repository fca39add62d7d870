package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
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

  /**
   * Requests the document after a delay, unless this box has that revision by then.
   *
   * @param boxes boxes to ask, one after another until one has the revision
   */
  void scheduleFetch(List<String> boxes, long revision, long delayMillis) {
    if (revision > ownRevision.getAsLong()) {
      loop.schedule(() -> fetch(boxes, revision), delayMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void fetch(List<String> boxes, long revision) {
    if (fetching || boxes.isEmpty() || ownRevision.getAsLong() >= revision) {
      return;
    }
    fetching = true;
    String box = boxes.get(0);
    List<String> remaining = boxes.subList(1, boxes.size());
    connections
        .request(
            box,
            requestType,
            new DocumentRequest(ownRevision.getAsLong()),
            answerType,
            RESPONSE_TIMEOUT)
        .map(Optional::of)
        .onErrorReturn(Optional.empty())
        .defaultIfEmpty(Optional.empty())
        .subscribe(answer -> loop.execute(() -> onAnswer(box, answer, remaining, revision)));
  }

  private void onAnswer(String box, Optional<A> answer, List<String> remaining, long revision) {
    fetching = false;
    answer.ifPresent(document -> consumer.accept(box, document));
    fetch(remaining, revision);
  }
}
