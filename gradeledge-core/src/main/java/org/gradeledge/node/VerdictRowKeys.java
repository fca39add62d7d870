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
  private static final int MOST_LIFTED = 1_024;

  /**
   * Keys of rows that were read. What this box has written may be missing from an older reading.
   */
  private final Set<String> read = new HashSet<>();

  private final Set<String> written = new HashSet<>();

  /** Keys whose rows were removed, the newest last: an older copy of the table has them again. */
  private final Set<String> lifted = new LinkedHashSet<>();

  boolean isStored(String key) {
    return read.contains(key) || written.contains(key);
  }

  boolean isLifted(String key) {
    return lifted.contains(key);
  }

  void addRead(String key) {
    read.add(key);
  }

  void addWritten(String key) {
    written.add(key);
  }

  /** Begins a whole reading; returns the keys that were read before. */
  Set<String> beginReading() {
    Set<String> before = Set.copyOf(read);
    read.clear();
    return before;
  }

  /** Begins the reading of an older copy of the table; returns all keys that were there before. */
  Set<String> beginCopy() {
    Set<String> before = new HashSet<>(read);
    before.addAll(written);
    read.clear();
    written.clear();
    return before;
  }

  /** Notes that a row was removed. */
  void remove(String key) {
    read.remove(key);
    written.remove(key);
    lifted.add(key);
    if (lifted.size() > MOST_LIFTED) {
      lifted.remove(lifted.iterator().next());
    }
  }

  /** Notes that a request is held back, perhaps once more. */
  void heldBack(RequestFingerprint fingerprint) {
    lifted.removeIf(key -> key.startsWith(fingerprint.toString()));
  }

  /** Returns the keys of all rows that a request has. */
  List<String> storedOf(RequestFingerprint fingerprint, int mostTrials) {
    Stream<String> trials =
        IntStream.rangeClosed(1, mostTrials)
            .mapToObj(number -> VerdictRow.trialKey(fingerprint, number));
    return Stream.concat(Stream.of(fingerprint.toString()), trials).filter(this::isStored).toList();
  }

  /** Returns how many trials of a request were granted. */
  int trialsTaken(RequestFingerprint fingerprint) {
    int taken = 0;
    while (isStored(VerdictRow.trialKey(fingerprint, taken + 1))) {
      taken++;
    }
    return taken;
  }
}
