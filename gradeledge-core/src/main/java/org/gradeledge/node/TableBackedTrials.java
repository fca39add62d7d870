package org.gradeledge.node;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.gradeledge.event.EventLog;
import org.gradeledge.follow.TableRow;
import org.gradeledge.follow.WritableTable;
import org.gradeledge.quarantine.QuarantineTrials;
import org.gradeledge.quarantine.RequestFingerprint;
import reactor.core.publisher.Mono;

/**
 * Schedules trials of quarantined requests. A box claims a trial by creating its row in the
 * platform's table, so that only one box runs it. Confined to the event loop.
 */
final class TableBackedTrials implements QuarantineTrials {

  /** Delay of each trial after the verdict. */
  static final List<Duration> TRIAL_DELAYS = List.of(Duration.ofMinutes(10), Duration.ofHours(2));

  private static final long RETRY_MILLIS = 1_000;

  private final VerdictRowKeys keys;
  private final WritableTable table;
  private final EventLoop loop;
  private final LongSupplier timeOfDayMillis;
  private final BooleanSupplier isWriter;
  private final EventLog events;
  private final Map<RequestFingerprint, Long> quarantinedAtMillis = new HashMap<>();

  TableBackedTrials(
      VerdictRowKeys keys,
      WritableTable table,
      EventLoop loop,
      LongSupplier timeOfDayMillis,
      BooleanSupplier isWriter,
      EventLog events) {
    this.keys = keys;
    this.table = table;
    this.loop = loop;
    this.timeOfDayMillis = timeOfDayMillis;
    this.isWriter = isWriter;
    this.events = events;
  }

  /** Records when a request was quarantined according to its row. */
  void setQuarantinedAt(RequestFingerprint fingerprint, long millis) {
    quarantinedAtMillis.put(fingerprint, millis);
  }

  /** Records when a request was quarantined unless the time is already known. */
  void setQuarantinedAtIfAbsent(RequestFingerprint fingerprint, long millis) {
    quarantinedAtMillis.putIfAbsent(fingerprint, millis);
  }

  /** Returns when a request was quarantined, or the current time if unknown. */
  long quarantinedAt(RequestFingerprint fingerprint) {
    return quarantinedAtMillis.getOrDefault(fingerprint, timeOfDayMillis.getAsLong());
  }

  void remove(RequestFingerprint fingerprint) {
    quarantinedAtMillis.remove(fingerprint);
  }

  @Override
  public Optional<Duration> timeUntilNext(RequestFingerprint fingerprint) {
    Long quarantinedAt = quarantinedAtMillis.get(fingerprint);
    int used = keys.usedTrials(fingerprint);
    if (quarantinedAt == null || used == TRIAL_DELAYS.size()) {
      return Optional.empty();
    }
    long age = timeOfDayMillis.getAsLong() - quarantinedAt;
    return Optional.of(Duration.ofMillis(Math.max(0, TRIAL_DELAYS.get(used).toMillis() - age)));
  }

  @Override
  public Mono<Boolean> claim(RequestFingerprint fingerprint) {
    String key = VerdictRow.trialKey(fingerprint, keys.usedTrials(fingerprint) + 1);
    keys.addWritten(key);
    return table
        .create(new TableRow(key, new byte[0]))
        .doOnNext(granted -> loop.execute(() -> logClaim(fingerprint, granted)));
  }

  private void logClaim(RequestFingerprint fingerprint, boolean granted) {
    events
        .change("held-back-request-tried")
        .with("fingerprint", fingerprint.toString())
        .with("granted", granted ? "yes" : "to another box")
        .write();
  }

  /** Marks a trial as used and writes its row again after the table lost it. */
  void rewriteTrial(String key) {
    keys.addWritten(key);
    if (isWriter.getAsBoolean()) {
      table
          .create(new TableRow(key, new byte[0]))
          .subscribe(created -> {}, failure -> loop.execute(() -> retryWrite(key, failure)));
    }
  }

  private void retryWrite(String key, Throwable failure) {
    events
        .problem("trial-not-written")
        .with("key", key)
        .with("why", String.valueOf(failure))
        .write();
    loop.schedule(() -> rewriteTrial(key), RETRY_MILLIS, TimeUnit.MILLISECONDS);
  }
}
