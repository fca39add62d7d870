package org.gradeledge.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The crashes recorded for one request or part of prompts. Crashes and withdrawals are only ever
 * added, as an incarnation crashes once; the state therefore does not depend on the order of
 * updates. Confined to the event loop.
 */
final class Suspect {

  private final RequestFingerprint fingerprint;
  private final Map<String, Long> crashNanos = new HashMap<>();
  private final Set<String> withdrawn = new HashSet<>();
  private int breadth;
  private boolean quarantined;
  private boolean reportedQuarantined;

  Suspect(RequestFingerprint fingerprint) {
    this.fingerprint = fingerprint;
  }

  RequestFingerprint fingerprint() {
    return fingerprint;
  }

  /** Returns the largest breadth that any box has recorded; see {@link SuspectIdentity}. */
  int breadth() {
    return breadth;
  }

  void widenTo(int recordedBreadth) {
    breadth = Math.max(breadth, recordedBreadth);
  }

  boolean isQuarantined() {
    return quarantined;
  }

  void setReportedQuarantined() {
    reportedQuarantined = true;
  }

  /** Returns whether any box quarantined the request at the last evaluation. */
  boolean isReportedQuarantined() {
    return reportedQuarantined;
  }

  /** Sets the verdict; returns whether it changed. */
  boolean updateVerdict(boolean newVerdict) {
    boolean changed = newVerdict != quarantined;
    quarantined = newVerdict;
    reportedQuarantined = newVerdict;
    return changed;
  }

  /** Records a crash; returns whether it is new. */
  boolean recordCrash(String incarnationId, long nanos) {
    return crashNanos.putIfAbsent(incarnationId, nanos) == null;
  }

  /** Withdraws a crash; returns whether that is new. */
  boolean withdraw(String incarnationId) {
    return withdrawn.add(incarnationId);
  }

  /** Withdraws all crashes; returns whether any of them counted. */
  boolean withdrawAll() {
    return withdrawn.addAll(crashNanos.keySet());
  }

  /** Returns the incarnations whose crashes are neither withdrawn nor refuted. */
  List<String> countedCrashes(Set<String> aliveIncarnationIds) {
    return crashNanos.keySet().stream()
        .filter(
            incarnationId ->
                !withdrawn.contains(incarnationId) && !aliveIncarnationIds.contains(incarnationId))
        .sorted()
        .toList();
  }

  /** Returns the incarnations of all recorded crashes. */
  Set<String> crashedIncarnationIds() {
    return crashNanos.keySet();
  }

  /** Returns the time since the latest crash. */
  long latestCrashAgeNanos(long now) {
    return crashNanos.values().stream().mapToLong(nanos -> now - nanos).min().orElse(0);
  }

  SuspectReport toReport(long now) {
    List<CrashReport> crashes =
        crashNanos.entrySet().stream()
            .map(
                crash ->
                    new CrashReport(
                        crash.getKey(),
                        TimeUnit.NANOSECONDS.toMillis(now - crash.getValue()),
                        withdrawn.contains(crash.getKey())))
            .toList();
    return new SuspectReport(fingerprint, crashes, quarantined, breadth);
  }
}
