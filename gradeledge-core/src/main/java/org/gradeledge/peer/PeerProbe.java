package org.gradeledge.peer;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.gradeledge.time.MonotonicClock;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;

/**
 * Detects half-open connections, on which sent data is lost without a reset. If data is sent on a
 * connection that received nothing for a while, a probe is sent too, and the connection is reported
 * as dead if nothing is received within a timeout. Idle connections are not probed.
 *
 * <p>Thread-safe.
 */
final class PeerProbe implements Disposable {

  /** The probe message, which the peer sends back as its answer. */
  static final PeerMessageType<byte[]> MESSAGE_TYPE = new PeerMessageType<>("probe", byte[].class);

  /** Longer than the interval of relayed digests, so that these connections are not probed. */
  private static final Duration IDLE_THRESHOLD = Duration.ofMillis(1_500);

  private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(1_500);

  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final Runnable sendProbe;
  private final Runnable onTimeout;
  private final Disposable.Swap timeoutTask = Disposables.swap();
  private long lastReceivedNanos;
  private boolean probing;

  /**
   * Creates the probe of a new connection.
   *
   * @param sendProbe sends a probe
   * @param onTimeout called if nothing is received within the timeout
   */
  PeerProbe(Scheduler scheduler, MonotonicClock clock, Runnable sendProbe, Runnable onTimeout) {
    this.scheduler = scheduler;
    this.clock = clock;
    this.sendProbe = sendProbe;
    this.onTimeout = onTimeout;
    this.lastReceivedNanos = clock.nanos();
  }

  /** Records that data was received. */
  synchronized void recordReceived() {
    lastReceivedNanos = clock.nanos();
  }

  /** Records that data was sent; sends a probe if nothing was received for a while. */
  void recordSent() {
    if (tryStartProbe()) {
      long sentNanos = clock.nanos();
      sendProbe.run();
      timeoutTask.update(
          scheduler.schedule(
              () -> checkResponse(sentNanos), RESPONSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
    }
  }

  private synchronized boolean tryStartProbe() {
    if (probing || clock.nanos() - lastReceivedNanos < IDLE_THRESHOLD.toNanos()) {
      return false;
    }
    probing = true;
    return true;
  }

  private void checkResponse(long sentNanos) {
    if (!finishProbe(sentNanos)) {
      onTimeout.run();
    }
  }

  /** Returns whether data was received since the probe was sent. */
  private synchronized boolean finishProbe(long sentNanos) {
    probing = false;
    return lastReceivedNanos - sentNanos >= 0;
  }

  @Override
  public void dispose() {
    timeoutTask.dispose();
  }
}
