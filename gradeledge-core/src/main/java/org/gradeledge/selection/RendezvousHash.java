package org.gradeledge.selection;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.zip.CRC32C;

/**
 * Weights of rendezvous hashing (highest random weight): for each key, all who know the same
 * members rank them alike, and a member that comes or goes moves only the keys that are its own.
 *
 * @since 0.2
 */
public abstract class RendezvousHash {

  private static final long MULTIPLIER_1 = 0xff51afd7ed558ccdL;
  private static final long MULTIPLIER_2 = 0xc4ceb9fe1a85ec53L;

  private RendezvousHash() {}

  /** Returns the order in which members rank for a key, the first one first. */
  public static Comparator<String> byRank(String key) {
    return Comparator.comparingLong((String member) -> weight(key, member)).reversed();
  }

  /** Returns the weight of a member for a key; never negative. */
  public static long weight(String key, String member) {
    return mix(checksum(key) << 32 ^ checksum(member)) >>> 1;
  }

  private static long checksum(String text) {
    CRC32C checksum = new CRC32C();
    checksum.update(text.getBytes(StandardCharsets.UTF_8));
    return checksum.getValue();
  }

  private static long mix(long value) {
    long mixed = (value ^ value >>> 33) * MULTIPLIER_1;
    mixed = (mixed ^ mixed >>> 33) * MULTIPLIER_2;
    return mixed ^ mixed >>> 33;
  }
}
