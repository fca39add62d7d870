package org.gradeledge.node;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.gradeledge.quarantine.RequestFingerprint;

/**
 * Tracks which rows of verdicts and trials are in the platform's table. Confined to the event loop.
 */
final class VerdictRowKeys {

  /** Exceeds the number of verdicts that an operator withdraws while a backup may be outdated. */
  private static final int MAX_WITHDRAWN = 1_024;

  /**
   * Keys of rows that were read. Keys that this box wrote are separate, as an outdated read may
   * lack them.
   */
  private final Set<String> readKeys = new HashSet<>();

  private final Set<String> writtenKeys = new HashSet<>();

  /** Keys of removed rows, newest last; a restored backup may contain the rows again. */
  private final Set<String> withdrawnKeys = new LinkedHashSet<>();

  boolean isStored(String key) {
    return readKeys.contains(key) || writtenKeys.contains(key);
  }

  boolean isWithdrawn(String key) {
    return withdrawnKeys.contains(key);
  }

  void addRead(String key) {
    readKeys.add(key);
  }

  void addWritten(String key) {
    writtenKeys.add(key);
  }

  /** Starts a full read and returns the keys of the previous one. */
  Set<String> startRead() {
    Set<String> previous = Set.copyOf(readKeys);
    readKeys.clear();
    return previous;
  }

  /** Starts a read of a restored backup and returns all keys stored before. */
  Set<String> startRestoredRead() {
    Set<String> previous = new HashSet<>(readKeys);
    previous.addAll(writtenKeys);
    readKeys.clear();
    writtenKeys.clear();
    return previous;
  }

  /** Records that a row was removed. */
  void remove(String key) {
    readKeys.remove(key);
    writtenKeys.remove(key);
    withdrawnKeys.add(key);
    if (withdrawnKeys.size() > MAX_WITHDRAWN) {
      withdrawnKeys.remove(withdrawnKeys.iterator().next());
    }
  }

  /** Records that a request is quarantined, so that its rows no longer count as removed. */
  void onQuarantined(RequestFingerprint fingerprint) {
    withdrawnKeys.removeIf(key -> key.startsWith(fingerprint.toString()));
  }

  /** Returns the keys of all stored rows of a request. */
  List<String> storedKeys(RequestFingerprint fingerprint, int maxTrials) {
    Stream<String> trials =
        IntStream.rangeClosed(1, maxTrials)
            .mapToObj(number -> VerdictRow.trialKey(fingerprint, number));
    return Stream.concat(Stream.of(fingerprint.toString()), trials).filter(this::isStored).toList();
  }

  /** Returns the number of used trials of a request. */
  int usedTrials(RequestFingerprint fingerprint) {
    int used = 0;
    while (isStored(VerdictRow.trialKey(fingerprint, used + 1))) {
      used++;
    }
    return used;
  }
}
