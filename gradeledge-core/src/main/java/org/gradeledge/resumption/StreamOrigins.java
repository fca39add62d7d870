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
 * The origins of streams that a box knows, by the id of the request that began each stream. Records
 * are kept until the caller gives up, and the oldest ones are evicted first. Confined to the event
 * loop.
 *
 * @since 0.3
 */
public final class StreamOrigins {

  /** About 10 MB. */
  static final int MAX_ENTRIES = 32_768;

  /** Bounds the retention that a caller's deadline may ask for. */
  static final long MAX_RETENTION_MILLIS = TimeUnit.MINUTES.toMillis(5);

  private static final class Entry {

    private Set<StreamOrigin> origins;
    private long expiresNanos;

    Entry(StreamOrigin origin, long expiresNanos) {
      this.origins = Set.of(origin);
      this.expiresNanos = expiresNanos;
    }

    boolean isExpired(long nowNanos) {
      return expiresNanos - nowNanos <= 0;
    }

    void merge(StreamOrigin origin, long otherExpiresNanos) {
      if (!origins.contains(origin)) {
        origins = Stream.concat(origins.stream(), Stream.of(origin)).collect(toUnmodifiableSet());
      }
      if (otherExpiresNanos - expiresNanos > 0) {
        expiresNanos = otherExpiresNanos;
      }
    }
  }

  private final MonotonicClock clock;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private long evicted;

  /** Creates an empty store. */
  public StreamOrigins(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Adds a record. Records of the same request with different origins are all kept. */
  public void add(OriginRecord added) {
    long retentionMillis = Math.min(added.retentionMillis(), MAX_RETENTION_MILLIS);
    if (retentionMillis <= 0) {
      return;
    }
    long now = clock.nanos();
    long expires = now + TimeUnit.MILLISECONDS.toNanos(retentionMillis);
    Entry entry = entries.remove(added.requestId());
    if (entry == null || entry.isExpired(now)) {
      entry = new Entry(added.origin(), expires);
    } else {
      entry.merge(added.origin(), expires);
    }
    entries.put(added.requestId(), entry);
    evict(now);
  }

  private void evict(long now) {
    Iterator<Entry> oldest = entries.values().iterator();
    while (oldest.hasNext()) {
      boolean expired = oldest.next().isExpired(now);
      if (!expired && entries.size() <= MAX_ENTRIES) {
        return;
      }
      oldest.remove();
      evicted += expired ? 0 : 1;
    }
  }

  /**
   * Returns the origins that were recorded for a request: none if it is unknown, several if records
   * contradict each other.
   */
  public Set<StreamOrigin> find(String requestId) {
    Entry entry = entries.get(requestId);
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

  private static OriginRecord record(
      String requestId, StreamOrigin origin, Entry entry, long nowNanos) {
    long retentionMillis = TimeUnit.NANOSECONDS.toMillis(entry.expiresNanos - nowNanos);
    return new OriginRecord(requestId, origin, retentionMillis);
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
