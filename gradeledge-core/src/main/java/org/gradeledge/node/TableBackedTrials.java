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
 * When requests that are held back are tried once more; each trial is a row of the platform's table
 * that one box alone can create. Confined to the event loop.
 */
final class TableBackedTrials implements QuarantineTrials {

  /**
   * When a request that is held back is tried once more, counted from the verdict. Upstreams may
   * have been mended by then; each trial may end one, so that there are two, and the deployment
   * allows three in all.
   */
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
      BooleanSupplier onDuty,
      EventLog events) {
    this.keys = keys;
    this.table = table;
    this.loop = loop;
    this.timeOfDayMillis = timeOfDayMillis;
    this.isWriter = onDuty;
    this.events = events;
  }

  /** Notes since when a request is held back, as its row says. */
  void setQuarantinedAt(RequestFingerprint fingerprint, long millis) {
    quarantinedAtMillis.put(fingerprint, millis);
  }

  /** Notes since when a request is held back, unless its row has said so. */
  void setQuarantinedAtIfAbsent(RequestFingerprint fingerprint, long millis) {
    quarantinedAtMillis.putIfAbsent(fingerprint, millis);
  }

  /** Returns since when a request is held back, now if that is not known. */
  long quarantinedAt(RequestFingerprint fingerprint) {
    return quarantinedAtMillis.getOrDefault(fingerprint, timeOfDayMillis.getAsLong());
  }

  void remove(RequestFingerprint fingerprint) {
    quarantinedAtMillis.remove(fingerprint);
  }

  @Override
  public Optional<Duration> timeUntilNext(RequestFingerprint fingerprint) {
    Long since = quarantinedAtMillis.get(fingerprint);
    int taken = keys.usedTrials(fingerprint);
    if (since == null || taken == TRIAL_DELAYS.size()) {
      return Optional.empty();
    }
    long age = timeOfDayMillis.getAsLong() - since;
    return Optional.of(Duration.ofMillis(Math.max(0, TRIAL_DELAYS.get(taken).toMillis() - age)));
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

  /** Keeps a trial spent whose row the table has lost, and writes that again. */
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
