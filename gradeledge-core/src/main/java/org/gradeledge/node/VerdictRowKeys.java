package org.gradeledge.node;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.gradeledge.quarantine.RequestFingerprint;

/** Which rows of verdicts and trials are in the platform's table. Confined to the event loop. */
final class VerdictRowKeys {

  /** Many more than an operator lifts in the seconds that a copy may be old. */
  private static final int MAX_WITHDRAWN = 1_024;

  /**
   * Keys of rows that were read. What this box has written may be missing from an older reading.
   */
  private final Set<String> readKeys = new HashSet<>();

  private final Set<String> writtenKeys = new HashSet<>();

  /** Keys whose rows were removed, the newest last: an older copy of the table has them again. */
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

  /** Begins a whole reading; returns the keys that were read before. */
  Set<String> startRead() {
    Set<String> before = Set.copyOf(readKeys);
    readKeys.clear();
    return before;
  }

  /** Begins the reading of an older copy of the table; returns all keys that were there before. */
  Set<String> startRestoredRead() {
    Set<String> before = new HashSet<>(readKeys);
    before.addAll(writtenKeys);
    readKeys.clear();
    writtenKeys.clear();
    return before;
  }

  /** Notes that a row was removed. */
  void remove(String key) {
    readKeys.remove(key);
    writtenKeys.remove(key);
    withdrawnKeys.add(key);
    if (withdrawnKeys.size() > MAX_WITHDRAWN) {
      withdrawnKeys.remove(withdrawnKeys.iterator().next());
    }
  }

  /** Notes that a request is held back, perhaps once more. */
  void onQuarantined(RequestFingerprint fingerprint) {
    withdrawnKeys.removeIf(key -> key.startsWith(fingerprint.toString()));
  }

  /** Returns the keys of all rows that a request has. */
  List<String> storedKeys(RequestFingerprint fingerprint, int mostTrials) {
    Stream<String> trials =
        IntStream.rangeClosed(1, mostTrials)
            .mapToObj(number -> VerdictRow.trialKey(fingerprint, number));
    return Stream.concat(Stream.of(fingerprint.toString()), trials).filter(this::isStored).toList();
  }

  /** Returns how many trials of a request were granted. */
  int usedTrials(RequestFingerprint fingerprint) {
    int taken = 0;
    while (isStored(VerdictRow.trialKey(fingerprint, taken + 1))) {
      taken++;
    }
    return taken;
  }
}
