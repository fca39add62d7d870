package org.gradeledge.peer;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.gradeledge.time.MonotonicClock;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;

/**
 * Finds out that a connection has gone silent without a reset, as happens where something between
 * two boxes forgets it: what is sent on it is lost without a word. Whenever something is sent on a
 * connection that nothing came on for a while, a probe follows, and the connection counts as silent
 * if nothing at all comes within a limit. A connection that carries nothing is not looked at.
 *
 * <p>Thread-safe.
 */
final class PeerProbe implements Disposable {

  /** The probe; the peer answers with the same. */
  static final PeerMessageType<byte[]> MESSAGE_TYPE = new PeerMessageType<>("probe", byte[].class);

  /** Longer than the time between two digests of a relay, so that relays are not probed. */
  private static final Duration IDLE_THRESHOLD = Duration.ofMillis(1_500);

  /** Well above what a busy box takes to answer, well below the time after which it is lost. */
  private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(1_500);

  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final Runnable sendProbe;
  private final Runnable onTimeout;
  private final Disposable.Swap timeoutTask = Disposables.swap();
  private long lastReceivedNanos;
  private boolean probing;

  /**
   * Creates the probe of a connection that was opened just now.
   *
   * @param send sends a probe
   * @param onSilent called once no sign of life came within the limit
   */
  PeerProbe(Scheduler scheduler, MonotonicClock clock, Runnable send, Runnable onSilent) {
    this.scheduler = scheduler;
    this.clock = clock;
    this.sendProbe = send;
    this.onTimeout = onSilent;
    this.lastReceivedNanos = clock.nanos();
  }

  /** Notes that something came. */
  synchronized void recordReceived() {
    lastReceivedNanos = clock.nanos();
  }

  /** Notes that something was sent; probes if nothing came for a while. */
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

  private synchronized boolean finishProbe(long sentNanos) {
    probing = false;
    return lastReceivedNanos - sentNanos >= 0;
  }

  @Override
  public void dispose() {
    timeoutTask.dispose();
  }
}
