package org.gradeledge.discovery;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Withholds entries of removed upstreams that are listed again only because the source of the list
 * was restored from a backup. Confined to the event loop.
 */
final class ReappearedUpstreams {

  /** More upstreams than leave within the age of a backup, which is seconds; about 50 kB. */
  private static final int MAX_ENTRIES = 512;

  private final Set<String> goneIncarnationIds = new LinkedHashSet<>();
  private final Map<String, UpstreamRecord> withheldById = new HashMap<>();
  private boolean withholding;

  /** Records that an incarnation is gone without having announced it. */
  void recordGone(UpstreamRecord upstream) {
    goneIncarnationIds.add(upstream.incarnationId());
    if (goneIncarnationIds.size() > MAX_ENTRIES) {
      goneIncarnationIds.remove(goneIncarnationIds.iterator().next());
    }
  }

  /** Records that an incarnation is in use. */
  void recordPresent(UpstreamRecord upstream) {
    goneIncarnationIds.remove(upstream.incarnationId());
  }

  /** Withholds entries of removed upstreams in full reads from now on. */
  void startWithholding() {
    withholding = true;
  }

  /** Returns whether an entry of a full read must not be used yet. */
  boolean withholdIfReappeared(UpstreamRecord upstream) {
    boolean reappeared = withholding && goneIncarnationIds.contains(upstream.incarnationId());
    if (reappeared) {
      withheldById.put(upstream.id(), upstream);
    }
    return reappeared;
  }

  /** Records that an entry was written or removed by its owner. */
  void recordWritten(String id) {
    withheldById.remove(id);
  }

  /** Stops withholding and returns the withheld entries, which their owners must have renewed. */
  Collection<UpstreamRecord> releaseWithheld() {
    withholding = false;
    List<UpstreamRecord> released = List.copyOf(withheldById.values());
    withheldById.clear();
    return released;
  }
}
