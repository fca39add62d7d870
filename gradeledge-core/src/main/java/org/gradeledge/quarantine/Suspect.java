package org.gradeledge.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What is known of one request. An end, and that it is cleared, are each said once and never taken
 * back: a start ends only once. So nothing depends on the order in which boxes hear of them, which
 * no moments that they tell each other would give. Confined to the event loop.
 */
final class Suspect {

  private final RequestFingerprint fingerprint;
  private final Map<String, Long> crashNanos = new HashMap<>();
  private final Set<String> withdrawn = new HashSet<>();
  private boolean quarantined;
  private boolean reportedQuarantined;

  Suspect(RequestFingerprint fingerprint) {
    this.fingerprint = fingerprint;
  }

  RequestFingerprint fingerprint() {
    return fingerprint;
  }

  boolean isQuarantined() {
    return quarantined;
  }

  /** Notes that a box holds it back. */
  void setReportedQuarantined() {
    reportedQuarantined = true;
  }

  /** Returns whether it was held back here or elsewhere when this was last looked at. */
  boolean isReportedQuarantined() {
    return reportedQuarantined;
  }

  /** Takes the verdict on; returns whether it is another one than before. */
  boolean updateVerdict(boolean now) {
    boolean changed = now != quarantined;
    quarantined = now;
    reportedQuarantined = now;
    return changed;
  }

  /** Notes that an upstream ended under the request; returns whether that is new. */
  boolean recordCrash(String start, long nanos) {
    return crashNanos.putIfAbsent(start, nanos) == null;
  }

  /** Notes that an end does not count any more; returns whether that is new. */
  boolean withdraw(String start) {
    return withdrawn.add(start);
  }

  /** Notes that no end that is known counts any more; returns whether one did. */
  boolean withdrawAll() {
    return withdrawn.addAll(crashNanos.keySet());
  }

  /** Returns the upstreams whose end counts against the request. */
  List<String> countedCrashes(Set<String> living) {
    return crashNanos.keySet().stream()
        .filter(start -> !withdrawn.contains(start) && !living.contains(start))
        .sorted()
        .toList();
  }

  /** Returns all upstreams that are said to have ended under the request. */
  Set<String> crashedIncarnationIds() {
    return crashNanos.keySet();
  }

  /** Returns how long ago the last end was. */
  long latestCrashAgeNanos(long now) {
    return crashNanos.values().stream().mapToLong(nanos -> now - nanos).min().orElse(0);
  }

  SuspectReport toReport(long now) {
    List<CrashReport> ends =
        crashNanos.entrySet().stream()
            .map(
                end ->
                    new CrashReport(
                        end.getKey(),
                        TimeUnit.NANOSECONDS.toMillis(now - end.getValue()),
                        withdrawn.contains(end.getKey())))
            .toList();
    return new SuspectReport(fingerprint, ends, quarantined);
  }
}
