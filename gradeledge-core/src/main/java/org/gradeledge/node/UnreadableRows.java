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
final class UnreadableRows {

  /** Far more than one list has rows; the oldest are forgotten, and may be told of once more. */
  private static final int KEPT = 1_000;

  private final EventLog events;
  private final Runnable onOne;
  private final Map<String, Integer> hashByKey = new LinkedHashMap<>();

  /**
   * Creates it without any row.
   *
   * @param onOne run for each row that is told of
   */
  UnreadableRows(EventLog events, Runnable onOne) {
    this.events = events;
    this.onOne = onOne;
  }

  void add(TableRow row, String why) {
    int hash = Arrays.hashCode(row.value());
    Integer before = hashByKey.put(row.key(), hash);
    if (hashByKey.size() > KEPT) {
      hashByKey.remove(hashByKey.keySet().iterator().next());
    }
    if (before == null || before != hash) {
      onOne.run();
      events.problem("upstream-row-unreadable").with("row", row.key()).with("why", why).write();
    }
  }

  /** Forgets rows that can be read now, or are gone. */
  void forget(Collection<String> keys) {
    keys.forEach(hashByKey::remove);
  }
}
