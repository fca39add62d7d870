package org.gradeledge.quarantine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** What is known of one request. Confined to the event loop. */
final class Suspicion {

  /** The same end, told by two boxes, seems to differ in age by less than this. */
  private static final long SAME_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final RequestFingerprint fingerprint;
  private final Map<String, Long> endNanos = new HashMap<>();
  private @Nullable Long clearedNanos;
  private boolean barred;
  private boolean toldBarred;

  Suspicion(RequestFingerprint fingerprint) {
    this.fingerprint = fingerprint;
  }

  RequestFingerprint fingerprint() {
    return fingerprint;
  }

  boolean isBarred() {
    return barred;
  }

  /** Notes that a box holds it back. */
  void setToldBarred() {
    toldBarred = true;
  }

  /** Returns whether it was held back here or elsewhere when this was last looked at. */
  boolean isToldBarred() {
    return toldBarred;
  }

  /** Takes the verdict on; returns whether it is another one than before. */
  boolean judged(boolean now) {
    boolean changed = now != barred;
    barred = now;
    toldBarred = now;
    return changed;
  }

  /** Notes that an upstream ended under the request; returns whether that is new. */
  boolean ended(String start, long nanos) {
    return endNanos.putIfAbsent(start, nanos) == null;
  }

  /** Notes that nothing that ended before a moment counts; returns whether that is new. */
  boolean cleared(long nanos) {
    if (clearedNanos != null && nanos - clearedNanos < SAME_NANOS) {
      return false;
    }
    clearedNanos = nanos;
    return true;
  }

  /** Returns the upstreams whose end counts against the request. */
  List<String> ends(Set<String> living) {
    return endNanos.entrySet().stream()
        .filter(end -> clearedNanos == null || end.getValue() - clearedNanos > 0)
        .map(Map.Entry::getKey)
        .filter(start -> !living.contains(start))
        .sorted()
        .toList();
  }

  /** Returns all upstreams that are said to have ended under the request. */
  Set<String> starts() {
    return endNanos.keySet();
  }

  /** Returns the moment of the last thing that is known of the request. */
  long newestNanos(long now) {
    long age = endNanos.values().stream().mapToLong(nanos -> now - nanos).min().orElse(0);
    return clearedNanos == null ? now - age : now - Math.min(age, now - clearedNanos);
  }

  SuspectReport report(long now) {
    List<EndReport> ends =
        endNanos.entrySet().stream()
            .map(end -> new EndReport(end.getKey(), millis(now - end.getValue())))
            .toList();
    Optional<Long> cleared = Optional.ofNullable(clearedNanos).map(nanos -> millis(now - nanos));
    return new SuspectReport(fingerprint, ends, barred, cleared);
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
