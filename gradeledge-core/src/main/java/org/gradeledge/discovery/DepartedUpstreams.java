package org.gradeledge.discovery;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Incarnations that have announced that they leave or were found to be gone. An outdated entry must
 * not make them usable again; a later incarnation with the same id is not affected. The oldest
 * entries are evicted first. Confined to the event loop.
 */
final class DepartedUpstreams {

  /** Covers hours in which a hundred upstreams are replaced every few minutes; about 400 kB. */
  private static final int MAX_ENTRIES = 4096;

  private final Map<String, Long> latestStartById = new LinkedHashMap<>();
  private final Set<String> incarnationIds = new LinkedHashSet<>();

  void add(UpstreamRecord upstream) {
    latestStartById.merge(upstream.id(), upstream.born(), Math::max);
    if (latestStartById.size() > MAX_ENTRIES) {
      latestStartById.remove(latestStartById.keySet().iterator().next());
    }
  }

  /** Adds an incarnation by its id, as reported by another box; returns whether it is new. */
  boolean addIncarnation(String incarnationId) {
    boolean added = incarnationIds.add(incarnationId);
    if (incarnationIds.size() > MAX_ENTRIES) {
      incarnationIds.remove(incarnationIds.iterator().next());
    }
    return added;
  }

  /** Returns whether this incarnation or a later one has departed. */
  boolean contains(UpstreamRecord upstream) {
    Long latestStart = latestStartById.get(upstream.id());
    return latestStart != null && upstream.born() <= latestStart
        || incarnationIds.contains(upstream.incarnationId());
  }
}
