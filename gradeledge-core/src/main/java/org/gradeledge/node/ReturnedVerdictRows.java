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
final class ReturnedVerdictRows {

  private static final long OTHERS_REMOVE_MILLIS = 2_000;

  /** Boxes that are not on duty are spread over so long, as one of them is enough. */
  private static final long OTHERS_SPREAD_MILLIS = 8_000;

  private static final long TRY_AGAIN_MILLIS = 1_000;

  private final WritableTable table;
  private final EventLoop loop;
  private final BooleanSupplier onDuty;
  private final EventLog events;
  private final Set<String> keys = new HashSet<>();

  ReturnedVerdictRows(
      WritableTable table, EventLoop loop, BooleanSupplier onDuty, EventLog events) {
    this.table = table;
    this.loop = loop;
    this.onDuty = onDuty;
    this.events = events;
  }

  /** Removes rows that the table has again. */
  void removeAgain(Collection<String> returned) {
    keys.clear();
    keys.addAll(returned);
    if (onDuty.getAsBoolean()) {
      remove();
    } else {
      long spread = ThreadLocalRandom.current().nextLong(OTHERS_SPREAD_MILLIS);
      removeAfter(OTHERS_REMOVE_MILLIS + spread);
    }
  }

  /** Notes that a row is gone. */
  void gone(String key) {
    keys.remove(key);
  }

  /** Notes that a request is held back, perhaps once more, so that its rows count again. */
  void heldBack(RequestFingerprint fingerprint) {
    keys.removeIf(key -> key.startsWith(fingerprint.toString()));
  }

  private void removeAfter(long millis) {
    if (!keys.isEmpty()) {
      loop.schedule(this::remove, millis, TimeUnit.MILLISECONDS);
    }
  }

  private void remove() {
    if (keys.isEmpty()) {
      return;
    }
    List<String> removed = List.copyOf(keys);
    table
        .remove(removed)
        .subscribe(
            ignored -> {},
            failure -> loop.execute(() -> failed(removed, failure)),
            () -> loop.execute(() -> removed.forEach(keys::remove)));
  }

  private void failed(List<String> removed, Throwable failure) {
    events
        .problem("verdict-not-removed")
        .with("keys", String.join(",", removed))
        .with("why", String.valueOf(failure))
        .write();
    removeAfter(TRY_AGAIN_MILLIS);
  }
}
