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
  static final PeerMessageType<byte[]> MESSAGE = new PeerMessageType<>("probe", byte[].class);

  /** Longer than the time between two digests of a relay, so that relays are not probed. */
  private static final Duration QUIET = Duration.ofMillis(1_500);

  /** Well above what a busy box takes to answer, well below the time after which it is lost. */
  private static final Duration ANSWER_LIMIT = Duration.ofMillis(1_500);

  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final Runnable send;
  private final Runnable onSilent;
  private final Disposable.Swap waiting = Disposables.swap();
  private long receivedNanos;
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
    this.send = send;
    this.onSilent = onSilent;
    this.receivedNanos = clock.nanos();
  }

  /** Notes that something came. */
  synchronized void received() {
    receivedNanos = clock.nanos();
  }

  /** Notes that something was sent; probes if nothing came for a while. */
  void sent() {
    if (begins()) {
      long sentNanos = clock.nanos();
      send.run();
      waiting.update(
          scheduler.schedule(
              () -> look(sentNanos), ANSWER_LIMIT.toMillis(), TimeUnit.MILLISECONDS));
    }
  }

  private synchronized boolean begins() {
    if (probing || clock.nanos() - receivedNanos < QUIET.toNanos()) {
      return false;
    }
    probing = true;
    return true;
  }

  private void look(long sentNanos) {
    if (!heardSince(sentNanos)) {
      onSilent.run();
    }
  }

  private synchronized boolean heardSince(long sentNanos) {
    probing = false;
    return receivedNanos - sentNanos >= 0;
  }

  @Override
  public void dispose() {
    waiting.dispose();
  }
}
