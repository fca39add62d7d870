package org.gradeledge.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gradeledge.time.MonotonicClock;

/**
 * Holds back requests that end each upstream that runs them. Several boxes see the ends, and each
 * adds up what all of them saw: who saw what, in which order the news comes and how often, makes no
 * difference.
 *
 * <p>All requests that ran on an upstream when it ended are suspects. A whole answer clears one. An
 * end that a held back request explains blames nobody else, so that whatever runs beside such a
 * request is served. One that is denied, since the upstream was heard later, blames nobody.
 *
 * <p>Confined to the event loop.
 *
 * @since 0.3
 */
public final class Quarantine {

  /** So many ends hold a request back: what the deployment allows before it counts retries. */
  public static final int CRASHES_TO_QUARANTINE = 3;

  /**
   * So many ends that no other request explains keep up a verdict that was reached before: two
   * guilty ones may have run together once.
   */
  private static final int CRASHES_TO_STAY_QUARANTINED = 2;

  /** What an upstream sent before its end may be read so much later, at a box that is behind. */
  static final Duration MAX_READ_DELAY = Duration.ofSeconds(1);

  private final MonotonicClock clock;
  private final SuspectRegistry suspects;
  private final Set<RequestFingerprint> pendingFingerprints = new LinkedHashSet<>();
  private final Set<String> pendingAliveIncarnationIds = new LinkedHashSet<>();
  private Runnable updateListener = () -> {};
  private final List<Consumer<QuarantineVerdict>> verdictListeners = new ArrayList<>();
  private Consumer<RequestFingerprint> releaseListener = released -> {};

  /** Creates one that knows of no request. */
  public Quarantine(MonotonicClock clock) {
    this.clock = clock;
    this.suspects = new SuspectRegistry(clock.nanos());
  }

  /** Sets who hears that there is something to be told; see {@link #takeUpdate}. */
  public void onUpdate(Runnable listener) {
    updateListener = listener;
  }

  /** Tells a listener of each request that is held back from then on. */
  public void onVerdict(Consumer<QuarantineVerdict> listener) {
    verdictListeners.add(listener);
  }

  /** Sets who hears that a request is not held back any more. */
  public void onRelease(Consumer<RequestFingerprint> listener) {
    releaseListener = listener;
  }

  /** Returns whether anything that counts is known of any request of a shape. */
  public boolean hasShapeHash(int shape) {
    return suspects.hasShapeHash(shape);
  }

  /** Returns whether a request must be sent to no upstream. */
  public boolean isQuarantined(RequestFingerprint fingerprint) {
    return suspects.find(fingerprint).filter(Suspect::isQuarantined).isPresent();
  }

  /** Returns how many upstreams have ended under a request since it was last cleared. */
  public int crashCount(RequestFingerprint fingerprint) {
    return suspects.find(fingerprint).map(found -> suspects.countedCrashes(found).size()).orElse(0);
  }

  /** Returns the requests that are held back. */
  public List<RequestFingerprint> quarantined() {
    return suspects.all().stream()
        .filter(Suspect::isQuarantined)
        .map(Suspect::fingerprint)
        .toList();
  }

  /** Notes that an upstream ended while a request was on it. */
  public void recordCrash(RequestFingerprint fingerprint, String start) {
    if (suspects.recordCrash(fingerprint, start, clock.nanos())) {
      evaluate(true);
      publish(Set.of(fingerprint));
    }
  }

  /** Notes that a request was answered whole: it does not end who runs it. */
  public void recordSuccess(RequestFingerprint fingerprint) {
    if (crashCount(fingerprint) > 0) {
      withdrawCrashes(fingerprint);
    }
  }

  /** Forgets what has ended under a request so far. */
  public void withdrawCrashes(RequestFingerprint fingerprint) {
    if (suspects.withdrawAll(fingerprint)) {
      evaluate(true);
      publish(Set.of(fingerprint));
    }
  }

  /** Notes that an upstream has sent something: a box that took it to have ended was wrong. */
  public void recordAlive(String start) {
    if (suspects.hasCrashedBefore(start, clock.nanos() - MAX_READ_DELAY.toNanos())) {
      suspects.refute(start);
      evaluate(true);
      pendingAliveIncarnationIds.add(start);
      publish(suspects.requestsAffectedBy(start));
    }
  }

  /** Takes in what another box or the platform's store has told; returns what of it was new. */
  public SuspectUpdate merge(SuspectUpdate news) {
    long now = clock.nanos();
    List<String> newlyLiving =
        news.aliveIncarnationIds().stream().filter(suspects::refute).toList();
    Set<RequestFingerprint> changed = new LinkedHashSet<>();
    for (SuspectReport report : news.reports()) {
      if (apply(report, now)) {
        changed.add(report.fingerprint());
      }
    }
    changed.addAll(evaluate(false));
    return new SuspectUpdate(suspects.reports(changed, now), newlyLiving);
  }

  /** Returns what this box has learned by itself since this was asked last. */
  public SuspectUpdate takeUpdate() {
    SuspectUpdate news =
        new SuspectUpdate(
            suspects.reports(pendingFingerprints, clock.nanos()),
            List.copyOf(pendingAliveIncarnationIds));
    pendingFingerprints.clear();
    pendingAliveIncarnationIds.clear();
    return news;
  }

  private void publish(Collection<RequestFingerprint> changed) {
    pendingFingerprints.addAll(changed);
    updateListener.run();
  }

  private boolean apply(SuspectReport report, long now) {
    boolean changed = false;
    for (CrashReport end : report.crashes()) {
      long nanos = now - TimeUnit.MILLISECONDS.toNanos(Math.max(0, end.ageMillis()));
      changed |= suspects.recordCrash(report.fingerprint(), end.incarnationId(), nanos);
      changed |= end.withdrawn() && suspects.withdraw(report.fingerprint(), end.incarnationId());
    }
    if (report.quarantined()) {
      suspects.find(report.fingerprint()).ifPresent(Suspect::setReportedQuarantined);
    }
    return changed;
  }

  /** Returns all that is known. */
  public SuspectUpdate snapshot() {
    return suspects.snapshot(clock.nanos());
  }

  /** Returns a number that is the same at boxes that know the same; 0 where nothing is known. */
  public long digest() {
    return suspects.digest();
  }

  /**
   * Judges all anew; returns the requests whose verdict has changed. Those under which most have
   * ended go first, as they explain ends that others are not blamed for. A verdict stands until the
   * request is cleared, the ends are denied, or others explain nearly all of them.
   */
  private List<RequestFingerprint> evaluate(boolean here) {
    suspects.evictIfDue(clock.nanos());
    List<RequestFingerprint> changed = new ArrayList<>();
    Set<String> explained = new HashSet<>();
    for (Suspect suspicion : suspects.candidates()) {
      List<String> ends = suspects.countedCrashes(suspicion);
      long blamed = ends.stream().filter(start -> !explained.contains(start)).count();
      boolean stands =
          suspicion.isReportedQuarantined()
              && ends.size() >= CRASHES_TO_QUARANTINE
              && blamed >= CRASHES_TO_STAY_QUARANTINED;
      if (suspicion.updateVerdict(stands || blamed >= CRASHES_TO_QUARANTINE)) {
        changed.add(suspicion.fingerprint());
        notifyListeners(suspicion, ends, here);
      }
      if (suspicion.isQuarantined()) {
        explained.addAll(ends);
      }
    }
    return changed;
  }

  private void notifyListeners(Suspect suspicion, List<String> ends, boolean here) {
    if (suspicion.isQuarantined()) {
      long now = clock.nanos();
      long age = TimeUnit.NANOSECONDS.toMillis(suspicion.latestCrashAgeNanos(now));
      QuarantineVerdict verdict = new QuarantineVerdict(suspicion.fingerprint(), ends, age, here);
      verdictListeners.forEach(listener -> listener.accept(verdict));
    } else {
      releaseListener.accept(suspicion.fingerprint());
    }
  }
}
