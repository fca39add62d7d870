package org.gradeledge.resumption;

import java.nio.charset.StandardCharsets;

/** A 64-bit hash of texts that is the same in all boxes (FNV-1a). */
final class StableHash {

  private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long PRIME = 0x100000001b3L;

  private StableHash() {}

  /** Returns the hash of a text. */
  static long of(String text) {
    long hash = OFFSET_BASIS;
    for (byte each : text.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (each & 0xff)) * PRIME;
    }
    return hash;
  }
}
