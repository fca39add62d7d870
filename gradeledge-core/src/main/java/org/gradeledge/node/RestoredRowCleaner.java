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
 * Rows of verdicts that were lifted and stand in the table again, as that came back as an older
 * copy of itself. Boxes on duty remove them at once; one on duty may not know of the lifting, so
 * that the others remove what is still there some seconds later. Confined to the event loop.
 */
final class RestoredRowCleaner {

  private static final long FALLBACK_DELAY_MILLIS = 2_000;

  /** Boxes that are not on duty are spread over so long, as one of them is enough. */
  private static final long FALLBACK_JITTER_MILLIS = 8_000;

  private static final long RETRY_MILLIS = 1_000;

  private final WritableTable table;
  private final EventLoop loop;
  private final BooleanSupplier isWriter;
  private final EventLog events;
  private final Set<String> keys = new HashSet<>();

  RestoredRowCleaner(WritableTable table, EventLoop loop, BooleanSupplier onDuty, EventLog events) {
    this.table = table;
    this.loop = loop;
    this.isWriter = onDuty;
    this.events = events;
  }

  /** Removes rows that the table has again. */
  void removeRestored(Collection<String> returned) {
    keys.clear();
    keys.addAll(returned);
    if (isWriter.getAsBoolean()) {
      removeRows();
    } else {
      long spread = ThreadLocalRandom.current().nextLong(FALLBACK_JITTER_MILLIS);
      scheduleRemoval(FALLBACK_DELAY_MILLIS + spread);
    }
  }

  /** Notes that a row is gone. */
  void onRowRemoved(String key) {
    keys.remove(key);
  }

  /** Notes that a request is held back, perhaps once more, so that its rows count again. */
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
    List<String> removed = List.copyOf(keys);
    table
        .remove(removed)
        .subscribe(
            ignored -> {},
            failure -> loop.execute(() -> retryRemoval(removed, failure)),
            () -> loop.execute(() -> removed.forEach(keys::remove)));
  }

  private void retryRemoval(List<String> removed, Throwable failure) {
    events
        .problem("verdict-not-removed")
        .with("keys", String.join(",", removed))
        .with("why", String.valueOf(failure))
        .write();
    scheduleRemoval(RETRY_MILLIS);
  }
}
