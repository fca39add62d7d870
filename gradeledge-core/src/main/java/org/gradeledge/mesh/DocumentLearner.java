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
final class DocumentLearner<A> {

  private static final Duration ANSWER_LIMIT = Duration.ofMillis(800);

  private final MeshLinks links;
  private final EventLoop loop;
  private final PeerMessageType<DocumentRequest> question;
  private final Class<A> answerType;
  private final LongSupplier ownRevision;
  private final BiConsumer<String, A> taker;
  private boolean learning;

  /**
   * Creates the learner.
   *
   * @param ownRevision revision that this box has
   * @param taker takes what a box answered
   */
  DocumentLearner(
      MeshLinks links,
      EventLoop loop,
      PeerMessageType<DocumentRequest> question,
      Class<A> answerType,
      LongSupplier ownRevision,
      BiConsumer<String, A> taker) {
    this.links = links;
    this.loop = loop;
    this.question = question;
    this.answerType = answerType;
    this.ownRevision = ownRevision;
    this.taker = taker;
  }

  /** Asks a box after a delay, unless this box has a revision as new by then. */
  void learnSoon(String box, long revision, long delayMillis) {
    if (revision > ownRevision.getAsLong()) {
      loop.schedule(() -> learn(box, revision), delayMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void learn(String box, long revision) {
    if (learning || ownRevision.getAsLong() >= revision) {
      return;
    }
    learning = true;
    links
        .ask(box, question, new DocumentRequest(ownRevision.getAsLong()), answerType, ANSWER_LIMIT)
        .doFinally(signal -> loop.execute(() -> learning = false))
        .subscribe(answer -> loop.execute(() -> taker.accept(box, answer)), failure -> {});
  }
}
