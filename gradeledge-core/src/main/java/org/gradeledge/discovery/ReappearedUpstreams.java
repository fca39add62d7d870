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
final class ReappearedUpstreams {

  /** More than go in the seconds that a copy may be old, on any deployment; about 50 kB. */
  private static final int MAX_ENTRIES = 512;

  private final Set<String> goneIncarnationIds = new LinkedHashSet<>();
  private final Map<String, UpstreamRecord> withheldById = new HashMap<>();
  private boolean withholding;

  /** Notes that a start has gone without saying that it leaves. */
  void recordGone(UpstreamRecord upstream) {
    goneIncarnationIds.add(upstream.incarnationId());
    if (goneIncarnationIds.size() > MAX_ENTRIES) {
      goneIncarnationIds.remove(goneIncarnationIds.iterator().next());
    }
  }

  /** Notes that a start is in use. */
  void recordPresent(UpstreamRecord upstream) {
    goneIncarnationIds.remove(upstream.incarnationId());
  }

  /** From now on a reading may hold what had gone. */
  void startWithholding() {
    withholding = true;
  }

  /** Returns whether an entry of a reading is not to be used yet. */
  boolean withholdIfReappeared(UpstreamRecord upstream) {
    boolean back = withholding && goneIncarnationIds.contains(upstream.incarnationId());
    if (back) {
      withheldById.put(upstream.id(), upstream);
    }
    return back;
  }

  /** Notes that an entry was written or removed by whoever it is of. */
  void recordWritten(String id) {
    withheldById.remove(id);
  }

  /** Returns what stood there all the time: whoever it is of must have written it. */
  Collection<UpstreamRecord> releaseWithheld() {
    withholding = false;
    List<UpstreamRecord> trusted = List.copyOf(withheldById.values());
    withheldById.clear();
    return trusted;
  }
}
