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
  public static final int ENDS_OF_VERDICT = 3;

  /**
   * So many ends that no other request explains keep up a verdict that was reached before: two
   * guilty ones may have run together once.
   */
  private static final int ENDS_TO_STAND = 2;

  /** What an upstream sent before its end may be read so much later, at a box that is behind. */
  static final Duration LATE_BYTES = Duration.ofSeconds(1);

  private final MonotonicClock clock;
  private final Suspects suspects;
  private final Set<RequestFingerprint> untold = new LinkedHashSet<>();
  private final Set<String> untoldLiving = new LinkedHashSet<>();
  private Runnable onNews = () -> {};
  private final List<Consumer<Verdict>> verdictListeners = new ArrayList<>();
  private Consumer<RequestFingerprint> onRelease = released -> {};

  /** Creates one that knows of no request. */
  public Quarantine(MonotonicClock clock) {
    this.clock = clock;
    this.suspects = new Suspects(clock.nanos());
  }

  /** Sets who hears that there is something to be told; see {@link #takeNews}. */
  public void onNews(Runnable listener) {
    onNews = listener;
  }

  /** Tells a listener of each request that is held back from then on. */
  public void onVerdict(Consumer<Verdict> listener) {
    verdictListeners.add(listener);
  }

  /** Sets who hears that a request is not held back any more. */
  public void onRelease(Consumer<RequestFingerprint> listener) {
    onRelease = listener;
  }

  /** Returns whether anything that counts is known of any request of a shape. */
  public boolean knowsShape(int shape) {
    return suspects.hasShape(shape);
  }

  /** Returns whether a request must be sent to no upstream. */
  public boolean bars(RequestFingerprint fingerprint) {
    return suspects.find(fingerprint).filter(Suspicion::isBarred).isPresent();
  }

  /** Returns how many upstreams have ended under a request since it was last cleared. */
  public int endsUnder(RequestFingerprint fingerprint) {
    return suspects.find(fingerprint).map(found -> suspects.ends(found).size()).orElse(0);
  }

  /** Returns the requests that are held back. */
  public List<RequestFingerprint> barred() {
    return suspects.all().stream().filter(Suspicion::isBarred).map(Suspicion::fingerprint).toList();
  }

  /** Notes that an upstream ended while a request was on it. */
  public void endedUnder(RequestFingerprint fingerprint, String start) {
    if (suspects.ended(fingerprint, start, clock.nanos())) {
      judge(true);
      tell(Set.of(fingerprint));
    }
  }

  /** Notes that a request was answered whole: it does not end who runs it. */
  public void answered(RequestFingerprint fingerprint) {
    if (endsUnder(fingerprint) > 0) {
      lift(fingerprint);
    }
  }

  /** Forgets what has ended under a request so far. */
  public void lift(RequestFingerprint fingerprint) {
    if (suspects.clearAll(fingerprint)) {
      judge(true);
      tell(Set.of(fingerprint));
    }
  }

  /** Notes that an upstream has sent something: a box that took it to have ended was wrong. */
  public void heardFrom(String start) {
    if (suspects.endedBefore(start, clock.nanos() - LATE_BYTES.toNanos())) {
      suspects.deny(start);
      judge(true);
      untoldLiving.add(start);
      tell(suspects.under(start));
    }
  }

  /** Takes in what another box or the platform's store has told; returns what of it was new. */
  public SuspectNews merge(SuspectNews news) {
    long now = clock.nanos();
    List<String> newlyLiving = news.living().stream().filter(suspects::deny).toList();
    Set<RequestFingerprint> changed = new LinkedHashSet<>();
    for (SuspectReport report : news.reports()) {
      if (take(report, now)) {
        changed.add(report.fingerprint());
      }
    }
    changed.addAll(judge(false));
    return new SuspectNews(suspects.reports(changed, now), newlyLiving);
  }

  /** Returns what this box has learned by itself since this was asked last. */
  public SuspectNews takeNews() {
    SuspectNews news =
        new SuspectNews(suspects.reports(untold, clock.nanos()), List.copyOf(untoldLiving));
    untold.clear();
    untoldLiving.clear();
    return news;
  }

  private void tell(Collection<RequestFingerprint> changed) {
    untold.addAll(changed);
    onNews.run();
  }

  private boolean take(SuspectReport report, long now) {
    boolean changed = false;
    for (EndReport end : report.ends()) {
      long nanos = now - TimeUnit.MILLISECONDS.toNanos(Math.max(0, end.ageMillis()));
      changed |= suspects.ended(report.fingerprint(), end.start(), nanos);
      changed |= end.cleared() && suspects.clear(report.fingerprint(), end.start());
    }
    if (report.barred()) {
      suspects.find(report.fingerprint()).ifPresent(Suspicion::setToldBarred);
    }
    return changed;
  }

  /** Returns all that is known. */
  public SuspectNews all() {
    return suspects.news(clock.nanos());
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
  private List<RequestFingerprint> judge(boolean here) {
    suspects.forgetNowAndThen(clock.nanos());
    List<RequestFingerprint> changed = new ArrayList<>();
    Set<String> explained = new HashSet<>();
    for (Suspicion suspicion : suspects.candidates()) {
      List<String> ends = suspects.ends(suspicion);
      long blamed = ends.stream().filter(start -> !explained.contains(start)).count();
      boolean stands =
          suspicion.isToldBarred() && ends.size() >= ENDS_OF_VERDICT && blamed >= ENDS_TO_STAND;
      if (suspicion.judged(stands || blamed >= ENDS_OF_VERDICT)) {
        changed.add(suspicion.fingerprint());
        tellChange(suspicion, ends, here);
      }
      if (suspicion.isBarred()) {
        explained.addAll(ends);
      }
    }
    return changed;
  }

  private void tellChange(Suspicion suspicion, List<String> ends, boolean here) {
    if (suspicion.isBarred()) {
      long now = clock.nanos();
      long age = TimeUnit.NANOSECONDS.toMillis(suspicion.newestAgeNanos(now));
      Verdict verdict = new Verdict(suspicion.fingerprint(), ends, age, here);
      verdictListeners.forEach(listener -> listener.accept(verdict));
    } else {
      onRelease.accept(suspicion.fingerprint());
    }
  }
}
