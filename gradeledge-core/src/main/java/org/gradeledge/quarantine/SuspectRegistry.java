package org.gradeledge.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Registry of suspect requests, bounded in age and number. Confined to the event loop. */
final class SuspectRegistry {

  /**
   * Maximum number of requests, about 500 bytes each. One crash adds all requests that the upstream
   * was serving, about a hundred, of which all but one are seen only once.
   */
  static final int MAX_REQUESTS = 4_096;

  /** Time after which a request without a verdict is evicted. */
  static final Duration RETENTION = Duration.ofHours(1);

  /** Maximum number of incarnations with a refuted crash. */
  private static final int MAX_ALIVE = 1_024;

  private static final long EVICTION_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);

  private final Map<RequestFingerprint, Suspect> byFingerprint = new LinkedHashMap<>();
  private final Map<String, Long> firstCrashNanos = new LinkedHashMap<>();
  private final Set<String> aliveIncarnationIds = new LinkedHashSet<>();

  /** Requests with enough crashes for a verdict; bounds the cost of an evaluation. */
  private final Set<Suspect> candidates = new LinkedHashSet<>();

  private final Set<Integer> shapeHashes = new HashSet<>();
  private long evictedNanos;
  private long digest;
  private boolean changed;

  SuspectRegistry(long nowNanos) {
    this.evictedNanos = nowNanos;
  }

  Optional<Suspect> find(RequestFingerprint fingerprint) {
    return Optional.ofNullable(byFingerprint.get(fingerprint));
  }

  Collection<Suspect> all() {
    return byFingerprint.values();
  }

  /** Returns whether any request with the given shape hash has a counted crash. */
  boolean hasShapeHash(int shapeHash) {
    return shapeHashes.contains(shapeHash);
  }

  /** Returns the incarnations whose crashes count against a request. */
  List<String> countedCrashes(Suspect suspect) {
    return suspect.countedCrashes(aliveIncarnationIds);
  }

  /** Returns whether there are any suspects with a counted crash. */
  boolean hasSuspects() {
    return !shapeHashes.isEmpty();
  }

  /**
   * Returns the suspects with enough crashes for a verdict, most crashes first. Each crash is
   * shared by a request and all parts of its prompt, so that a broader suspect comes first only if
   * it has more crashes than a narrower one by the difference in breadth.
   */
  List<Suspect> candidates() {
    return candidates.stream()
        .sorted(
            Comparator.comparing((Suspect each) -> each.breadth() - countedCrashes(each).size())
                .thenComparing(Suspect::breadth)
                .thenComparing(each -> each.fingerprint().high()))
        .toList();
  }

  /** Records a crash; returns whether it is new. */
  boolean recordCrash(
      RequestFingerprint fingerprint, int breadth, String incarnationId, long nanos) {
    Suspect suspect = byFingerprint.computeIfAbsent(fingerprint, Suspect::new);
    suspect.widenTo(breadth);
    boolean added = suspect.recordCrash(incarnationId, nanos);
    changed |= added;
    if (added && !aliveIncarnationIds.contains(incarnationId)) {
      firstCrashNanos.putIfAbsent(incarnationId, nanos);
      shapeHashes.add(fingerprint.shapeHash());
    }
    if (suspect.crashedIncarnationIds().size() >= Quarantine.CRASHES_TO_QUARANTINE) {
      candidates.add(suspect);
    }
    return added;
  }

  /** Withdraws a crash of a request; returns whether that is new. */
  boolean withdraw(RequestFingerprint fingerprint, String incarnationId) {
    return updateIf(
        byFingerprint.computeIfAbsent(fingerprint, Suspect::new).withdraw(incarnationId));
  }

  /** Withdraws all crashes of a request; returns whether any of them counted. */
  boolean withdrawAll(RequestFingerprint fingerprint) {
    Suspect suspect = byFingerprint.get(fingerprint);
    return updateIf(suspect != null && suspect.withdrawAll());
  }

  private boolean updateIf(boolean crashesChanged) {
    if (crashesChanged) {
      rebuildShapeHashes();
    }
    return crashesChanged;
  }

  /** Returns whether a crash of an incarnation was recorded before a time. */
  boolean hasCrashedBefore(String incarnationId, long nanos) {
    Long crashNanos = firstCrashNanos.get(incarnationId);
    return crashNanos != null && crashNanos - nanos < 0;
  }

  /** Refutes the crash of an incarnation that is alive; returns whether that is new. */
  boolean refute(String incarnationId) {
    firstCrashNanos.remove(incarnationId);
    return updateIf(aliveIncarnationIds.add(incarnationId));
  }

  /** Returns the requests with a recorded crash of an incarnation. */
  List<RequestFingerprint> requestsAffectedBy(String incarnationId) {
    return byFingerprint.values().stream()
        .filter(suspect -> suspect.crashedIncarnationIds().contains(incarnationId))
        .map(Suspect::fingerprint)
        .toList();
  }

  List<SuspectReport> reports(Collection<RequestFingerprint> fingerprints, long now) {
    return fingerprints.stream()
        .flatMap(each -> find(each).stream())
        .map(suspect -> suspect.toReport(now))
        .toList();
  }

  SuspectUpdate snapshot(long now) {
    return new SuspectUpdate(
        reports(byFingerprint.keySet(), now), List.copyOf(aliveIncarnationIds));
  }

  /** Returns a digest of the counted crashes, equal for equal crashes; 0 if there are none. */
  long digest() {
    if (changed) {
      changed = false;
      digest = computeDigest();
    }
    return digest;
  }

  private long computeDigest() {
    long digest = 0;
    for (Suspect suspect : byFingerprint.values()) {
      for (String incarnationId : countedCrashes(suspect)) {
        digest ^= mix(suspect.fingerprint().low() * 31 + incarnationId.hashCode());
      }
    }
    return digest;
  }

  /** Finalizer of SplitMix64; keeps combined values from cancelling each other out. */
  private static long mix(long bits) {
    long first = (bits ^ (bits >>> 30)) * 0xbf58476d1ce4e5b9L;
    long second = (first ^ (first >>> 27)) * 0x94d049bb133111ebL;
    return second ^ (second >>> 31);
  }

  private void rebuildShapeHashes() {
    changed = true;
    shapeHashes.clear();
    byFingerprint.values().stream()
        .filter(suspect -> !suspect.countedCrashes(aliveIncarnationIds).isEmpty())
        .forEach(suspect -> shapeHashes.add(suspect.fingerprint().shapeHash()));
  }

  void evictIfDue(long now) {
    if (byFingerprint.size() > MAX_REQUESTS || now - evictedNanos > EVICTION_INTERVAL_NANOS) {
      evictedNanos = now;
      evict(now);
    }
  }

  /**
   * Evicts old requests without a verdict. Above the maximum number also evicts a quarter of the
   * requests: those with the fewest crashes first, of these the oldest.
   */
  private void evict(long now) {
    byFingerprint
        .values()
        .removeIf(
            each -> !each.isQuarantined() && each.latestCrashAgeNanos(now) > RETENTION.toNanos());
    if (byFingerprint.size() > MAX_REQUESTS) {
      byFingerprint.values().stream()
          .sorted(
              Comparator.comparing(
                      (Suspect each) -> each.countedCrashes(aliveIncarnationIds).size())
                  .thenComparing(each -> -each.latestCrashAgeNanos(now)))
          .limit(MAX_REQUESTS / 4)
          .map(Suspect::fingerprint)
          .toList()
          .forEach(byFingerprint::remove);
    }
    candidates.retainAll(byFingerprint.values());
    Set<String> relevantIncarnationIds =
        byFingerprint.values().stream()
            .flatMap(each -> each.crashedIncarnationIds().stream())
            .collect(Collectors.toSet());
    firstCrashNanos.keySet().retainAll(relevantIncarnationIds);
    while (aliveIncarnationIds.size() > MAX_ALIVE) {
      aliveIncarnationIds.remove(aliveIncarnationIds.iterator().next());
    }
    rebuildShapeHashes();
  }
}
