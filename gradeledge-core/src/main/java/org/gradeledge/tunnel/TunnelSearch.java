package org.gradeledge.tunnel;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.gradeledge.connection.PathCheck;

/**
 * Asks several boxes to connect to an upstream until one has reached it: the next box as soon as
 * one failed or does not answer quickly. Confined to the event loop.
 */
final class TunnelSearch {

  /** More than a box takes that reaches the upstream. */
  private static final Duration NEXT_BOX_DELAY = Duration.ofMillis(100);

  /** Covers the time in which a box tries to connect. */
  private static final Duration ANSWER_TIMEOUT = TunnelServer.CONNECT_TIMEOUT.plusMillis(100);

  private static final int MAX_BOXES = 3;

  /** Called with the box that reached the upstream; the box is empty if none did. */
  @FunctionalInterface
  interface Listener extends BiConsumer<String, TunnelOffer> {}

  private final TunnelPeers peers;
  private final EventLoop loop;
  private final TunnelRequest request;
  private final Iterator<String> boxes;
  private final Listener listener;
  private final BiConsumer<String, PathCheck> failureListener;
  private PathCheck result = PathCheck.UNAVAILABLE;
  private int pending;
  private boolean finished;

  TunnelSearch(
      TunnelPeers peers,
      EventLoop loop,
      TunnelRequest request,
      List<String> candidates,
      BiConsumer<String, PathCheck> failureListener,
      Listener listener) {
    this.peers = peers;
    this.loop = loop;
    this.request = request;
    this.boxes = candidates.stream().limit(MAX_BOXES).iterator();
    this.failureListener = failureListener;
    this.listener = listener;
  }

  void start() {
    askNext();
  }

  private void askNext() {
    if (finished) {
      return;
    }
    if (!boxes.hasNext()) {
      finishIfNonePending();
      return;
    }
    String box = boxes.next();
    pending++;
    peers
        .request(box, request, ANSWER_TIMEOUT)
        .onErrorReturn(TunnelOffer.without(PathCheck.UNAVAILABLE))
        .defaultIfEmpty(TunnelOffer.without(PathCheck.UNAVAILABLE))
        .subscribe(offer -> loop.execute(() -> onOffer(box, offer)));
    loop.schedule(this::askNext, NEXT_BOX_DELAY.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void onOffer(String box, TunnelOffer offer) {
    pending--;
    if (finished) {
      return;
    }
    if (offer.check() == PathCheck.REACHED) {
      finish(box, offer);
      return;
    }
    failureListener.accept(box, offer.check());
    if (offer.check().code() < result.code()) {
      result = offer.check();
    }
    askNext();
  }

  private void finishIfNonePending() {
    if (pending == 0) {
      finish("", TunnelOffer.without(result));
    }
  }

  private void finish(String box, TunnelOffer offer) {
    finished = true;
    listener.accept(box, offer);
  }
}
