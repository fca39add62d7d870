package org.gradeledge.peer;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.util.retry.Retry;

/**
 * Maintains the connection to one peer: dials with backoff while there is none, and waits while
 * there is one, whichever side dialed it. Connected peers are not polled. Thread-safe.
 */
final class PeerDialer implements Disposable {

  private static final Duration MIN_BACKOFF = Duration.ofMillis(50);

  /** Bounds the time until a peer that is available again is connected. */
  private static final Duration MAX_BACKOFF = Duration.ofMillis(400);

  /** Spreads the dials of many boxes to a peer that is available again. */
  private static final double JITTER = 0.5;

  private final Supplier<Optional<PeerConnection>> openConnection;
  private final Supplier<Mono<Void>> dial;
  private final AtomicBoolean dialing = new AtomicBoolean();
  private volatile boolean failed;
  private final Runnable dialEndListener;
  private final Disposable task;

  /**
   * Starts to maintain the connection.
   *
   * @param openConnection returns the open connection to the peer, if any
   * @param dial dials the peer; completes once the connection is closed
   * @param dialEndListener called whenever a dial has failed or its connection is closed
   */
  PeerDialer(
      PeerAddress peer,
      Supplier<Optional<PeerConnection>> openConnection,
      Supplier<Mono<Void>> dial,
      Scheduler scheduler,
      Runnable dialEndListener) {
    this.openConnection = openConnection;
    this.dial = dial;
    this.dialEndListener = dialEndListener;
    this.task =
        Mono.defer(this::awaitConnectionEnd)
            .then(Mono.error(() -> PeerException.notConnected(peer.boxId())))
            .retryWhen(
                Retry.backoff(Long.MAX_VALUE, MIN_BACKOFF)
                    .maxBackoff(MAX_BACKOFF)
                    .jitter(JITTER)
                    .scheduler(scheduler))
            .subscribe(
                ignored -> {}, e -> Logger.error(e, "Dialing of peer {} ended", peer.boxId()));
  }

  /** Returns whether a dial is in flight. */
  boolean isDialing() {
    return dialing.get();
  }

  /** Returns whether the last dial failed and no connection was opened since. */
  boolean hasFailed() {
    return failed && openConnection.get().isEmpty();
  }

  private Mono<Void> awaitConnectionEnd() {
    return openConnection.get().map(PeerConnection::onClosed).orElseGet(this::dialOnce);
  }

  private Mono<Void> dialOnce() {
    dialing.set(true);
    return dial.get().doFinally(signal -> onDialEnd());
  }

  private void onDialEnd() {
    if (dialing.getAndSet(false)) {
      failed = true;
    }
    dialEndListener.run();
  }

  /** Called once a connection to the peer is open, whichever side dialed it. */
  void connectionOpened() {
    dialing.set(false);
    failed = false;
  }

  @Override
  public void dispose() {
    task.dispose();
  }
}
