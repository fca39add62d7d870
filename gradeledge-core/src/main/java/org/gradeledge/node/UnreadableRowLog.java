package org.gradeledge.node;

import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.gradeledge.event.EventLog;
import org.gradeledge.follow.TableRow;

/**
 * Logs rows of the list of upstreams that cannot be read. A row is logged again only when its value
 * changes. Confined to the event loop.
 */
final class UnreadableRowLog {

  /** Number of rows to remember; the oldest are evicted. */
  private static final int MAX_ENTRIES = 1_000;

  private final EventLog events;
  private final Runnable rowListener;
  private final Map<String, Integer> hashByKey = new LinkedHashMap<>();

  /**
   * Creates an empty log.
   *
   * @param rowListener run for each logged row
   */
  UnreadableRowLog(EventLog events, Runnable rowListener) {
    this.events = events;
    this.rowListener = rowListener;
  }

  void logIfChanged(TableRow row, String reason) {
    int hash = Arrays.hashCode(row.value());
    Integer previous = hashByKey.put(row.key(), hash);
    if (hashByKey.size() > MAX_ENTRIES) {
      hashByKey.remove(hashByKey.keySet().iterator().next());
    }
    if (previous == null || previous != hash) {
      rowListener.run();
      events.problem("upstream-row-unreadable").with("row", row.key()).with("why", reason).write();
    }
  }

  /** Removes rows that are readable again or were deleted. */
  void remove(Collection<String> keys) {
    keys.forEach(hashByKey::remove);
  }
}
