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

/**
 * The requests under which upstreams ended, within bounds on time and number. Confined to the event
 * loop.
 */
final class SuspectRegistry {

  /**
   * Requests that are known at most, about 500 bytes each: an upstream takes some hundred along, of
   * which all but one are seen only once.
   */
  static final int MAX_REQUESTS = 4_096;

  /** An end that has not led to a verdict by then was the upstream's own. */
  static final Duration RETENTION = Duration.ofHours(1);

  /** Of upstreams that were heard later; several requests ran on each. */
  private static final int MAX_ALIVE = 1_024;

  private static final long EVICTION_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);

  private final Map<RequestFingerprint, Suspect> byFingerprint = new LinkedHashMap<>();
  private final Map<String, Long> firstCrashNanos = new LinkedHashMap<>();
  private final Set<String> aliveIncarnationIds = new LinkedHashSet<>();

  /** Only these can be held back, so that judging does not grow with what is known. */
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

  /** Returns whether an end that counts is known under any request of a shape. */
  boolean hasShapeHash(int shape) {
    return shapeHashes.contains(shape);
  }

  /** Returns the upstreams whose end counts against a request. */
  List<String> countedCrashes(Suspect suspicion) {
    return suspicion.countedCrashes(aliveIncarnationIds);
  }

  /** Returns those under which enough have ended for a verdict, most ends first. */
  List<Suspect> candidates() {
    return candidates.stream()
        .sorted(
            Comparator.comparing((Suspect each) -> -countedCrashes(each).size())
                .thenComparing(each -> each.fingerprint().high()))
        .toList();
  }

  /** Notes that an upstream ended under a request; returns whether that is new. */
  boolean recordCrash(RequestFingerprint fingerprint, String start, long nanos) {
    Suspect suspicion = byFingerprint.computeIfAbsent(fingerprint, Suspect::new);
    boolean added = suspicion.recordCrash(start, nanos);
    changed |= added;
    if (added && !aliveIncarnationIds.contains(start)) {
      firstCrashNanos.putIfAbsent(start, nanos);
      shapeHashes.add(fingerprint.shapeHash());
    }
    if (suspicion.crashedIncarnationIds().size() >= Quarantine.CRASHES_TO_QUARANTINE) {
      candidates.add(suspicion);
    }
    return added;
  }

  /** Notes that an end under a request does not count any more; returns whether that is new. */
  boolean withdraw(RequestFingerprint fingerprint, String start) {
    return updateIf(byFingerprint.computeIfAbsent(fingerprint, Suspect::new).withdraw(start));
  }

  /**
   * Notes that nothing that ended under a request counts any more; returns whether anything did.
   */
  boolean withdrawAll(RequestFingerprint fingerprint) {
    Suspect suspicion = byFingerprint.get(fingerprint);
    return updateIf(suspicion != null && suspicion.withdrawAll());
  }

  private boolean updateIf(boolean changedNow) {
    if (changedNow) {
      rebuildShapeHashes();
    }
    return changedNow;
  }

  /** Returns whether an upstream is said to have ended before a moment. */
  boolean hasCrashedBefore(String start, long nanos) {
    Long ended = firstCrashNanos.get(start);
    return ended != null && ended - nanos < 0;
  }

  /** Notes that an upstream lives that was said to have ended; returns whether that is new. */
  boolean refute(String start) {
    firstCrashNanos.remove(start);
    return updateIf(aliveIncarnationIds.add(start));
  }

  /** Returns the requests under which an upstream is said to have ended. */
  List<RequestFingerprint> requestsAffectedBy(String start) {
    return byFingerprint.values().stream()
        .filter(suspicion -> suspicion.crashedIncarnationIds().contains(start))
        .map(Suspect::fingerprint)
        .toList();
  }

  List<SuspectReport> reports(Collection<RequestFingerprint> wanted, long now) {
    return wanted.stream()
        .flatMap(each -> find(each).stream())
        .map(suspicion -> suspicion.toReport(now))
        .toList();
  }

  /** Returns all that is known. */
  SuspectUpdate snapshot(long now) {
    return new SuspectUpdate(
        reports(byFingerprint.keySet(), now), List.copyOf(aliveIncarnationIds));
  }

  /** Returns a number that is the same where the same ends count, 0 where none does. */
  long digest() {
    if (changed) {
      changed = false;
      digest = computeDigest();
    }
    return digest;
  }

  private long computeDigest() {
    long digest = 0;
    for (Suspect suspicion : byFingerprint.values()) {
      for (String start : countedCrashes(suspicion)) {
        digest ^= mix(suspicion.fingerprint().low() * 31 + start.hashCode());
      }
    }
    return digest;
  }

  /** Spreads all bits, so that sums of several do not cancel out (the last step of SplitMix64). */
  private static long mix(long bits) {
    long first = (bits ^ (bits >>> 30)) * 0xbf58476d1ce4e5b9L;
    long second = (first ^ (first >>> 27)) * 0x94d049bb133111ebL;
    return second ^ (second >>> 31);
  }

  private void rebuildShapeHashes() {
    changed = true;
    shapeHashes.clear();
    byFingerprint.values().stream()
        .filter(suspicion -> !suspicion.countedCrashes(aliveIncarnationIds).isEmpty())
        .forEach(suspicion -> shapeHashes.add(suspicion.fingerprint().shapeHash()));
  }

  /** Forgets what is old, where that is due. */
  void evictIfDue(long now) {
    if (byFingerprint.size() > MAX_REQUESTS || now - evictedNanos > EVICTION_INTERVAL_NANOS) {
      evictedNanos = now;
      evict(now);
    }
  }

  /**
   * What is old and has led to no verdict goes. Beyond the bound a quarter goes, those first under
   * which fewest have ended, and of these the oldest: the one that is looked for is seen again.
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
    Set<String> mattering =
        byFingerprint.values().stream()
            .flatMap(each -> each.crashedIncarnationIds().stream())
            .collect(Collectors.toSet());
    firstCrashNanos.keySet().retainAll(mattering);
    while (aliveIncarnationIds.size() > MAX_ALIVE) {
      aliveIncarnationIds.remove(aliveIncarnationIds.iterator().next());
    }
    rebuildShapeHashes();
  }
}
