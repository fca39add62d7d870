package org.gradeledge.node;

import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.gradeledge.event.EventLog;
import org.gradeledge.follow.TableRow;

/**
 * Rows that name no upstream, as something else wrote them. Each is told of once, and again only
 * when it has changed, however often the list is read. Confined to the event loop.
 */
final class UnreadableRowLog {

  /** Far more than one list has rows; the oldest are forgotten, and may be told of once more. */
  private static final int MAX_ENTRIES = 1_000;

  private final EventLog events;
  private final Runnable rowListener;
  private final Map<String, Integer> hashByKey = new LinkedHashMap<>();

  /**
   * Creates it without any row.
   *
   * @param onOne run for each row that is told of
   */
  UnreadableRowLog(EventLog events, Runnable onOne) {
    this.events = events;
    this.rowListener = onOne;
  }

  void logIfChanged(TableRow row, String why) {
    int hash = Arrays.hashCode(row.value());
    Integer before = hashByKey.put(row.key(), hash);
    if (hashByKey.size() > MAX_ENTRIES) {
      hashByKey.remove(hashByKey.keySet().iterator().next());
    }
    if (before == null || before != hash) {
      rowListener.run();
      events.problem("upstream-row-unreadable").with("row", row.key()).with("why", why).write();
    }
  }

  /** Forgets rows that can be read now, or are gone. */
  void remove(Collection<String> keys) {
    keys.forEach(hashByKey::remove);
  }
}
