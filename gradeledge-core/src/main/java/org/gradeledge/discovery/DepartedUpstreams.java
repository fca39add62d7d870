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
  private static final int KEPT = 4096;

  private final Map<String, Long> newestBirthById = new LinkedHashMap<>();
  private final Set<String> starts = new LinkedHashSet<>();

  void remember(UpstreamRecord upstream) {
    newestBirthById.merge(upstream.id(), upstream.born(), Math::max);
    if (newestBirthById.size() > KEPT) {
      newestBirthById.remove(newestBirthById.keySet().iterator().next());
    }
  }

  /** Remembers a start by its name alone, as another box tells it; returns whether it was new. */
  boolean rememberStart(String start) {
    boolean added = starts.add(start);
    if (starts.size() > KEPT) {
      starts.remove(starts.iterator().next());
    }
    return added;
  }

  /** Returns whether a start has departed, or one after it. */
  boolean contains(UpstreamRecord upstream) {
    Long newest = newestBirthById.get(upstream.id());
    return newest != null && upstream.born() <= newest || starts.contains(upstream.start());
  }
}
