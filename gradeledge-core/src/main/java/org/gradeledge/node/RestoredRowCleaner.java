package org.gradeledge.node;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.gradeledge.event.EventLog;
import org.gradeledge.follow.WritableTable;
import org.gradeledge.quarantine.RequestFingerprint;

/**
 * Removes verdict rows that reappear when the table is restored from a backup taken before they
 * were removed. Boxes assigned to write verdicts remove them immediately. Other boxes remove the
 * remaining rows after a delay, as an assigned box may not have recorded the removal. Confined to
 * the event loop.
 */
final class RestoredRowCleaner {

  private static final long FALLBACK_DELAY_MILLIS = 2_000;

  /** Random delay that spreads the removals of boxes that are not assigned. */
  private static final long FALLBACK_JITTER_MILLIS = 8_000;

  private static final long RETRY_MILLIS = 1_000;

  private final WritableTable table;
  private final EventLoop loop;
  private final BooleanSupplier isWriter;
  private final EventLog events;
  private final Set<String> keys = new HashSet<>();

  RestoredRowCleaner(
      WritableTable table, EventLoop loop, BooleanSupplier isWriter, EventLog events) {
    this.table = table;
    this.loop = loop;
    this.isWriter = isWriter;
    this.events = events;
  }

  /** Removes rows that are in the table again. */
  void removeRestored(Collection<String> restoredKeys) {
    keys.clear();
    keys.addAll(restoredKeys);
    if (isWriter.getAsBoolean()) {
      removeRows();
    } else {
      long jitter = ThreadLocalRandom.current().nextLong(FALLBACK_JITTER_MILLIS);
      scheduleRemoval(FALLBACK_DELAY_MILLIS + jitter);
    }
  }

  /** Records that a row was removed from the table. */
  void onRowRemoved(String key) {
    keys.remove(key);
  }

  /** Keeps the rows of a request that is quarantined again. */
  void onQuarantined(RequestFingerprint fingerprint) {
    keys.removeIf(key -> key.startsWith(fingerprint.toString()));
  }

  private void scheduleRemoval(long millis) {
    if (!keys.isEmpty()) {
      loop.schedule(this::removeRows, millis, TimeUnit.MILLISECONDS);
    }
  }

  private void removeRows() {
    if (keys.isEmpty()) {
      return;
    }
    List<String> removedKeys = List.copyOf(keys);
    table
        .remove(removedKeys)
        .subscribe(
            ignored -> {},
            failure -> loop.execute(() -> retryRemoval(removedKeys, failure)),
            () -> loop.execute(() -> removedKeys.forEach(keys::remove)));
  }

  private void retryRemoval(List<String> removedKeys, Throwable failure) {
    events
        .problem("verdict-not-removed")
        .with("keys", String.join(",", removedKeys))
        .with("why", String.valueOf(failure))
        .write();
    scheduleRemoval(RETRY_MILLIS);
  }
}
