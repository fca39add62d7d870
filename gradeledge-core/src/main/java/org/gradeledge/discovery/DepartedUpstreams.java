package org.gradeledge.discovery;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Starts of upstreams that have once said that they leave, or were seen to be gone: an older report
 * must not bring them back. A later start under the same id is another one. The oldest are
 * forgotten first. Confined to the event loop.
 */
final class DepartedUpstreams {

  /** Some hours of replacing a hundred upstreams every few minutes; about 400 kB. */
  private static final int MAX_ENTRIES = 4096;

  private final Map<String, Long> latestStartById = new LinkedHashMap<>();
  private final Set<String> incarnationIds = new LinkedHashSet<>();

  void add(UpstreamRecord upstream) {
    latestStartById.merge(upstream.id(), upstream.startedAtMillis(), Math::max);
    if (latestStartById.size() > MAX_ENTRIES) {
      latestStartById.remove(latestStartById.keySet().iterator().next());
    }
  }

  /** Remembers a start by its name alone, as another box tells it; returns whether it was new. */
  boolean addIncarnation(String start) {
    boolean added = incarnationIds.add(start);
    if (incarnationIds.size() > MAX_ENTRIES) {
      incarnationIds.remove(incarnationIds.iterator().next());
    }
    return added;
  }

  /** Returns whether a start has departed, or one after it. */
  boolean contains(UpstreamRecord upstream) {
    Long newest = latestStartById.get(upstream.id());
    return newest != null && upstream.startedAtMillis() <= newest
        || incarnationIds.contains(upstream.incarnationId());
  }
}
