package org.gradeledge.discovery;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Upstreams that have once said that they leave, or were seen to be gone: an older report must not
 * bring them back. The oldest are forgotten first. Confined to the event loop.
 */
final class DepartedUpstreams {

  /** Some hours of replacing a hundred upstreams every few minutes; about 400 kB. */
  private static final int KEPT = 4096;

  private final Set<String> ids = new LinkedHashSet<>();

  void remember(String id) {
    ids.add(id);
    if (ids.size() > KEPT) {
      ids.remove(ids.iterator().next());
    }
  }

  boolean contains(String id) {
    return ids.contains(id);
  }
}
