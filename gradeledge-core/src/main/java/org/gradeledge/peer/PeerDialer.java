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
 * Keeps up the connection to one peer: dials while there is none, and rests while there is one,
 * whichever side has dialed it. It looks again only once a connection has ended, so a box at rest
 * spends nothing on peers that it is connected with. Thread-safe.
 */
final class PeerDialer implements Disposable {

  /** A peer that has just started answers within a few tens of milliseconds. */
  private static final Duration MIN_BACKOFF = Duration.ofMillis(50);

  /** Bounds both the dials to a peer that is away and the time until one that is back is met. */
  private static final Duration MAX_BACKOFF = Duration.ofMillis(400);

  /** Spreads the dials of many boxes to one that comes back. */
  private static final double JITTER = 0.5;

  private final Supplier<Optional<PeerConnection>> openConnection;
  private final Supplier<Mono<Void>> dial;
  private final AtomicBoolean dialing = new AtomicBoolean();
  private volatile boolean failed;
  private final Runnable dialEndListener;
  private final Disposable task;

  /**
   * Starts to keep up a connection.
   *
   * @param open the connection to the peer that is open now
   * @param dial dials the peer; completes once the connection has ended
   * @param onDialEnd called whenever a dial has come to nothing or its connection has ended
   */
  PeerDialer(
      PeerAddress peer,
      Supplier<Optional<PeerConnection>> open,
      Supplier<Mono<Void>> dial,
      Scheduler scheduler,
      Runnable onDialEnd) {
    this.openConnection = open;
    this.dial = dial;
    this.dialEndListener = onDialEnd;
    this.task =
        Mono.defer(this::awaitConnectionEnd)
            .then(Mono.error(() -> PeerException.notConnected(peer.boxId())))
            .retryWhen(
                Retry.backoff(Long.MAX_VALUE, MIN_BACKOFF)
                    .maxBackoff(MAX_BACKOFF)
                    .jitter(JITTER)
                    .scheduler(scheduler))
            .subscribe(
                ignored -> {}, e -> Logger.error(e, "dialing of peer {} ended", peer.boxId()));
  }

  /** Returns whether a dial is under way whose outcome is not known yet. */
  boolean isDialing() {
    return dialing.get();
  }

  /** Returns whether the last dial came to nothing and no connection was opened since. */
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

  /** Notes that a connection to the peer is open. */
  void connectionOpened() {
    dialing.set(false);
    failed = false;
  }

  @Override
  public void dispose() {
    task.dispose();
  }
}
