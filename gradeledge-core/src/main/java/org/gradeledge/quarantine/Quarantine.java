package org.gradeledge.quarantine;

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
 * Quarantines requests that crash the upstreams serving them, and parts of prompts under which
 * different requests do. Several boxes observe crashes; each one combines the observations of all
 * boxes, independent of the order and repetition of updates.
 *
 * <p>All requests in flight at a crash become suspects, and so do the shared parts of the prompts
 * whose answers had not begun. A complete answer withdraws the crashes of a request; an answer that
 * begins withdraws those of the parts of its prompt. A crash of a quarantined suspect does not
 * count against others. A crash is refuted if the upstream answers a request that was sent later.
 *
 * <p>Confined to the event loop.
 *
 * @since 0.3
 */
public final class Quarantine {

  /** Number of crashes after which a request is quarantined. */
  public static final int CRASHES_TO_QUARANTINE = 3;

  /**
   * Number of crashes, not explained by other requests, that keeps a request quarantined; lower, as
   * two crashing requests may share one crash.
   */
  private static final int CRASHES_TO_STAY_QUARANTINED = 2;

  /** A part that many requests share is in flight at crashes that others cause. */
  private static final int MAX_EXTRA_CRASHES_OF_BROAD_PARTS = 2;

  private final MonotonicClock clock;
  private final SuspectRegistry suspects;
  private final Set<RequestFingerprint> pendingFingerprints = new LinkedHashSet<>();
  private final Set<String> pendingAliveIncarnationIds = new LinkedHashSet<>();
  private Runnable updateListener = () -> {};
  private final List<Consumer<QuarantineVerdict>> verdictListeners = new ArrayList<>();
  private Consumer<RequestFingerprint> releaseListener = released -> {};

  /** Creates an instance without suspects. */
  public Quarantine(MonotonicClock clock) {
    this.clock = clock;
    this.suspects = new SuspectRegistry(clock.nanos());
  }

  /** Sets the listener that is run when {@link #takeUpdate} has something to return. */
  public void onUpdate(Runnable listener) {
    updateListener = listener;
  }

  /** Adds a listener for requests that become quarantined. */
  public void onVerdict(Consumer<QuarantineVerdict> listener) {
    verdictListeners.add(listener);
  }

  /** Sets the listener for requests that are released. */
  public void onRelease(Consumer<RequestFingerprint> listener) {
    releaseListener = listener;
  }

  /** Returns whether any request with the given shape hash has a counted crash. */
  public boolean hasShapeHash(int shapeHash) {
    return suspects.hasShapeHash(shapeHash);
  }

  /** Returns whether a request is quarantined and must not be sent to any upstream. */
  public boolean isQuarantined(RequestFingerprint fingerprint) {
    return suspects.find(fingerprint).filter(Suspect::isQuarantined).isPresent();
  }

  /** Returns the number of crashes that count against a request. */
  public int crashCount(RequestFingerprint fingerprint) {
    return suspects
        .find(fingerprint)
        .map(suspect -> suspects.countedCrashes(suspect).size())
        .orElse(0);
  }

  /** Returns the quarantined requests. */
  public List<RequestFingerprint> quarantined() {
    return suspects.all().stream()
        .filter(Suspect::isQuarantined)
        .map(Suspect::fingerprint)
        .toList();
  }

  /** Returns whether any request or part of prompts has a counted crash. */
  public boolean hasSuspects() {
    return suspects.hasSuspects();
  }

  /** Records that an upstream crashed while it served a request. */
  public void recordCrash(RequestFingerprint fingerprint, String incarnationId) {
    recordCrash(fingerprint, 0, incarnationId);
  }

  /**
   * Records that an upstream crashed while it served a request, against the request or a part of
   * its prompt.
   *
   * @param breadth see {@link SuspectIdentity#breadth}; narrower suspects are recorded first
   */
  public void recordCrash(RequestFingerprint fingerprint, int breadth, String incarnationId) {
    if (suspects.recordCrash(fingerprint, breadth, incarnationId, clock.nanos())) {
      evaluate(true);
      publish(Set.of(fingerprint));
    }
  }

  /** Records an answer that shows that a suspect crashes no upstream; withdraws its crashes. */
  public void recordSuccess(RequestFingerprint fingerprint) {
    if (crashCount(fingerprint) > 0) {
      withdrawCrashes(fingerprint);
    }
  }

  /** Withdraws all crashes of a request. */
  public void withdrawCrashes(RequestFingerprint fingerprint) {
    if (suspects.withdrawAll(fingerprint)) {
      evaluate(true);
      publish(Set.of(fingerprint));
    }
  }

  /**
   * Records that an upstream answered a request. This refutes a crash recorded before the request
   * was sent; an answer to an earlier request may have been sent before the crash and read late.
   *
   * @param sentNanos time at which the request was sent
   */
  public void recordAlive(String incarnationId, long sentNanos) {
    if (suspects.hasCrashedBefore(incarnationId, sentNanos)) {
      suspects.refute(incarnationId);
      evaluate(true);
      pendingAliveIncarnationIds.add(incarnationId);
      publish(suspects.requestsAffectedBy(incarnationId));
    }
  }

  /**
   * Merges an update from another box or from the store of the platform; returns the part of it
   * that was new.
   */
  public SuspectUpdate merge(SuspectUpdate update) {
    long now = clock.nanos();
    List<String> newAliveIncarnationIds =
        update.aliveIncarnationIds().stream().filter(suspects::refute).toList();
    Set<RequestFingerprint> changed = new LinkedHashSet<>();
    for (SuspectReport report : update.reports()) {
      if (apply(report, now)) {
        changed.add(report.fingerprint());
      }
    }
    changed.addAll(evaluate(false));
    return new SuspectUpdate(suspects.reports(changed, now), newAliveIncarnationIds);
  }

  /** Returns the changes observed by this box since the last call. */
  public SuspectUpdate takeUpdate() {
    SuspectUpdate update =
        new SuspectUpdate(
            suspects.reports(pendingFingerprints, clock.nanos()),
            List.copyOf(pendingAliveIncarnationIds));
    pendingFingerprints.clear();
    pendingAliveIncarnationIds.clear();
    return update;
  }

  private void publish(Collection<RequestFingerprint> changed) {
    pendingFingerprints.addAll(changed);
    updateListener.run();
  }

  private boolean apply(SuspectReport report, long now) {
    boolean changed = false;
    for (CrashReport crash : report.crashes()) {
      long crashNanos = now - TimeUnit.MILLISECONDS.toNanos(Math.max(0, crash.ageMillis()));
      changed |=
          suspects.recordCrash(
              report.fingerprint(), report.breadth(), crash.incarnationId(), crashNanos);
      changed |=
          crash.withdrawn() && suspects.withdraw(report.fingerprint(), crash.incarnationId());
    }
    if (report.quarantined()) {
      suspects.find(report.fingerprint()).ifPresent(Suspect::setReportedQuarantined);
    }
    return changed;
  }

  /** Returns an update with the complete state. */
  public SuspectUpdate snapshot() {
    return suspects.snapshot(clock.nanos());
  }

  /**
   * Returns a digest of the state, equal at boxes with equal state; 0 if there are no counted
   * crashes.
   */
  public long digest() {
    return suspects.digest();
  }

  /**
   * Evaluates all candidates; returns the requests whose verdict changed. Requests with the most
   * crashes are evaluated first, as they explain crashes of others. A quarantined request stays so
   * until its crashes are withdrawn, refuted, or nearly all explained by other requests.
   */
  private List<RequestFingerprint> evaluate(boolean decidedLocally) {
    suspects.evictIfDue(clock.nanos());
    List<RequestFingerprint> changed = new ArrayList<>();
    Set<String> explained = new HashSet<>();
    for (Suspect suspect : suspects.candidates()) {
      List<String> crashes = suspects.countedCrashes(suspect);
      long unexplained =
          crashes.stream().filter(incarnationId -> !explained.contains(incarnationId)).count();
      boolean staysQuarantined =
          suspect.isReportedQuarantined()
              && crashes.size() >= CRASHES_TO_QUARANTINE
              && unexplained >= CRASHES_TO_STAY_QUARANTINED;
      if (suspect.updateVerdict(staysQuarantined || unexplained >= requiredCrashes(suspect))) {
        changed.add(suspect.fingerprint());
        notifyListeners(suspect, crashes, decidedLocally);
      }
      if (suspect.isQuarantined()) {
        explained.addAll(crashes);
      }
    }
    return changed;
  }

  private static int requiredCrashes(Suspect suspect) {
    int extra = Math.min(MAX_EXTRA_CRASHES_OF_BROAD_PARTS, Math.max(0, suspect.breadth() - 1));
    return CRASHES_TO_QUARANTINE + extra;
  }

  private void notifyListeners(Suspect suspect, List<String> crashes, boolean decidedLocally) {
    if (suspect.isQuarantined()) {
      long now = clock.nanos();
      long ageMillis = TimeUnit.NANOSECONDS.toMillis(suspect.latestCrashAgeNanos(now));
      QuarantineVerdict verdict =
          new QuarantineVerdict(suspect.fingerprint(), crashes, ageMillis, decidedLocally);
      verdictListeners.forEach(listener -> listener.accept(verdict));
    } else {
      releaseListener.accept(suspect.fingerprint());
    }
  }
}
