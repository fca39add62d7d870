package org.gradeledge.discovery;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Upstreams that had gone and stand in the list again only because its source came back as an older
 * copy of itself. Confined to the event loop.
 */
final class ReturnedUpstreams {

  /** More than go in the seconds that a copy may be old, on any deployment; about 50 kB. */
  private static final int KEPT = 512;

  private final Set<String> goneStarts = new LinkedHashSet<>();
  private final Map<String, UpstreamRecord> heldBack = new HashMap<>();
  private boolean distrusted;

  /** Notes that a start has gone without saying that it leaves. */
  void gone(UpstreamRecord upstream) {
    goneStarts.add(upstream.start());
    if (goneStarts.size() > KEPT) {
      goneStarts.remove(goneStarts.iterator().next());
    }
  }

  /** Notes that a start is in use. */
  void isThere(UpstreamRecord upstream) {
    goneStarts.remove(upstream.start());
  }

  /** From now on a reading may hold what had gone. */
  void distrust() {
    distrusted = true;
  }

  /** Returns whether an entry of a reading is not to be used yet. */
  boolean holdsBack(UpstreamRecord upstream) {
    boolean back = distrusted && goneStarts.contains(upstream.start());
    if (back) {
      heldBack.put(upstream.id(), upstream);
    }
    return back;
  }

  /** Notes that an entry was written or removed by whoever it is of. */
  void written(String id) {
    heldBack.remove(id);
  }

  /** Returns what stood there all the time: whoever it is of must have written it. */
  Collection<UpstreamRecord> trust() {
    distrusted = false;
    List<UpstreamRecord> trusted = List.copyOf(heldBack.values());
    heldBack.clear();
    return trusted;
  }
}
