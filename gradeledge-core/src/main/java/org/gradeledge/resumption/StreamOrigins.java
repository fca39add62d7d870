package org.gradeledge.resumption;

import static java.util.stream.Collectors.toUnmodifiableSet;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.gradeledge.time.MonotonicClock;

/**
 * The origins of streams that a box knows, by stream. Records are kept until the caller gives up,
 * and the oldest ones are evicted first. Confined to the event loop.
 *
 * @since 0.3
 */
public final class StreamOrigins {

  /** About 6 MB. */
  static final int MAX_ENTRIES = 32_768;

  /** Bounds the retention that a caller's deadline may ask for. */
  static final long MAX_RETENTION_MILLIS = TimeUnit.MINUTES.toMillis(5);

  private static final class Entry {

    private Set<Long> origins;
    private long expiresNanos;

    Entry(long originHash, long expiresNanos) {
      this.origins = Set.of(originHash);
      this.expiresNanos = expiresNanos;
    }

    boolean isExpired(long nowNanos) {
      return expiresNanos - nowNanos <= 0;
    }

    void merge(long originHash, long otherExpiresNanos) {
      if (!origins.contains(originHash)) {
        origins =
            Stream.concat(origins.stream(), Stream.of(originHash)).collect(toUnmodifiableSet());
      }
      if (otherExpiresNanos - expiresNanos > 0) {
        expiresNanos = otherExpiresNanos;
      }
    }
  }

  private final MonotonicClock clock;
  private final int maxEntries;
  private final Map<Long, Entry> entries = new LinkedHashMap<>();
  private long evicted;

  /** Creates an empty store of the default size. */
  public StreamOrigins(MonotonicClock clock) {
    this(clock, MAX_ENTRIES);
  }

  /** Creates an empty store for a number of streams. */
  public StreamOrigins(MonotonicClock clock, int maxEntries) {
    this.clock = clock;
    this.maxEntries = maxEntries;
  }

  /** Adds a record. Records of the same stream with different origins are all kept. */
  public void add(OriginRecord added) {
    long retentionMillis = Math.min(added.retentionMillis(), MAX_RETENTION_MILLIS);
    if (retentionMillis <= 0) {
      return;
    }
    long now = clock.nanos();
    long expires = now + TimeUnit.MILLISECONDS.toNanos(retentionMillis);
    Entry entry = entries.remove(added.streamKey());
    if (entry == null || entry.isExpired(now)) {
      entry = new Entry(added.originHash(), expires);
    } else {
      entry.merge(added.originHash(), expires);
    }
    entries.put(added.streamKey(), entry);
    evict(now);
  }

  private void evict(long now) {
    Iterator<Entry> oldest = entries.values().iterator();
    while (oldest.hasNext()) {
      boolean expired = oldest.next().isExpired(now);
      if (!expired && entries.size() <= maxEntries) {
        return;
      }
      oldest.remove();
      evicted += expired ? 0 : 1;
    }
  }

  /**
   * Returns the hashes of the origins that were recorded for a stream: none if it is unknown,
   * several if records contradict each other.
   */
  public Set<Long> find(long streamKey) {
    Entry entry = entries.get(streamKey);
    return entry == null || entry.isExpired(clock.nanos()) ? Set.of() : entry.origins;
  }

  /** Returns all records with their remaining retention. */
  public List<OriginRecord> all() {
    long now = clock.nanos();
    return entries.entrySet().stream()
        .filter(each -> !each.getValue().isExpired(now))
        .flatMap(
            each ->
                each.getValue().origins.stream()
                    .map(origin -> record(each.getKey(), origin, each.getValue(), now)))
        .toList();
  }

  private static OriginRecord record(long streamKey, long originHash, Entry entry, long nowNanos) {
    long retentionMillis = TimeUnit.NANOSECONDS.toMillis(entry.expiresNanos - nowNanos);
    return new OriginRecord(streamKey, originHash, retentionMillis);
  }

  /** Returns the number of streams, which may include some that have expired. */
  public int size() {
    return entries.size();
  }

  /** Returns how many records were dropped for lack of room before they expired. */
  public long evictedCount() {
    return evicted;
  }
}
