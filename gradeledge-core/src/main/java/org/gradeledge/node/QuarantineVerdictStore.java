package org.gradeledge.node;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.gradeledge.event.EventLog;
import org.gradeledge.follow.TableChanges;
import org.gradeledge.follow.TableContent;
import org.gradeledge.follow.TableListener;
import org.gradeledge.follow.TableRow;
import org.gradeledge.follow.WritableTable;
import org.gradeledge.quarantine.Quarantine;
import org.gradeledge.quarantine.QuarantineTrials;
import org.gradeledge.quarantine.QuarantineVerdict;
import org.gradeledge.quarantine.RequestFingerprint;
import org.gradeledge.quarantine.SuspectUpdate;
import reactor.core.publisher.Mono;

/**
 * Stores quarantine verdicts in the platform's table so that they survive the loss of all boxes.
 * Removing the row of a verdict, as an operator may do, withdraws the verdict.
 *
 * <p>Confined to the event loop.
 */
final class QuarantineVerdictStore implements TableListener, QuarantineTrials {

  /** Delay after which other assigned boxes write a verdict that its box has not written. */
  private static final long FALLBACK_WRITE_MILLIS = 2_000;

  private static final long RETRY_MILLIS = 1_000;

  private final Quarantine quarantine;
  private final WritableTable table;
  private final EventLoop loop;
  private final LongSupplier timeOfDayMillis;
  private final BooleanSupplier isWriter;
  private final EventLog events;
  private final VerdictRowKeys keys = new VerdictRowKeys();
  private final TableBackedTrials trials;
  private final RestoredRowCleaner restoredRowCleaner;

  /** Verdicts in force, to be written again if the table loses them. */
  private final Map<RequestFingerprint, QuarantineVerdict> verdicts = new HashMap<>();

  private boolean backupRestored;

  /**
   * Creates the store.
   *
   * @param timeOfDayMillis milliseconds since 1970; the only clock shared by all boxes across
   *     restarts
   * @param isWriter whether this box is assigned to write verdicts of other boxes
   */
  QuarantineVerdictStore(
      Quarantine quarantine,
      WritableTable table,
      EventLoop loop,
      LongSupplier timeOfDayMillis,
      BooleanSupplier isWriter,
      EventLog events) {
    this.quarantine = quarantine;
    this.table = table;
    this.loop = loop;
    this.timeOfDayMillis = timeOfDayMillis;
    this.isWriter = isWriter;
    this.events = events;
    this.trials = new TableBackedTrials(keys, table, loop, timeOfDayMillis, isWriter, events);
    this.restoredRowCleaner = new RestoredRowCleaner(table, loop, isWriter, events);
    quarantine.onVerdict(this::onVerdict);
    quarantine.onRelease(this::onRelease);
  }

  /**
   * Marks the next read as a restored backup: missing rows are written again, and rows that were
   * removed are removed again.
   */
  @Override
  public void onBackupRestored() {
    backupRestored = true;
  }

  @Override
  public void onContent(TableContent content) {
    if (backupRestored) {
      backupRestored = false;
      mergeRestored(content);
      return;
    }
    Set<String> previous = keys.startRead();
    content.rows().forEach(this::applyRow);
    previous.stream().filter(key -> !containsRow(content, key)).forEach(this::withdrawVerdict);
  }

  private void mergeRestored(TableContent content) {
    Set<String> previous = keys.startRestoredRead();
    content.rows().stream().filter(row -> !keys.isWithdrawn(row.key())).forEach(this::applyRow);
    restoredRowCleaner.removeRestored(
        content.rows().stream().map(TableRow::key).filter(keys::isWithdrawn).toList());
    previous.stream().filter(key -> !containsRow(content, key)).forEach(this::rewriteIfTrial);
    verdicts.values().stream()
        .filter(verdict -> !containsRow(content, verdict.fingerprint().toString()))
        .forEach(verdict -> scheduleWrite(verdict, 0));
  }

  private static boolean containsRow(TableContent content, String key) {
    return content.rows().stream().anyMatch(row -> row.key().equals(key));
  }

  /** Marks a trial as used whose row is missing from the restored table. */
  private void rewriteIfTrial(String key) {
    if (VerdictRow.fingerprintOfTrial(key).isPresent()) {
      trials.rewriteTrial(key);
    }
  }

  @Override
  public void onChanges(TableChanges changes) {
    changes.put().forEach(this::applyRow);
    changes.removed().forEach(this::onRowRemoved);
  }

  /** Records the removal also of rows that were not read, as a restored backup may contain them. */
  private void onRowRemoved(String key) {
    restoredRowCleaner.onRowRemoved(key);
    if (keys.isStored(key)) {
      withdrawVerdict(key);
    } else if (!isQuarantined(key)) {
      keys.remove(key);
    }
  }

  private boolean isQuarantined(String key) {
    return VerdictRow.fingerprintOfTrial(key)
        .or(() -> RequestFingerprint.parse(key))
        .filter(quarantine::isQuarantined)
        .isPresent();
  }

  private void applyRow(TableRow row) {
    keys.addRead(row.key());
    if (VerdictRow.fingerprintOfTrial(row.key()).isEmpty()) {
      VerdictRow.read(row)
          .peek(this::mergeVerdict)
          .peekLeft(
              reason ->
                  events
                      .problem("verdict-row-unreadable")
                      .with("key", row.key())
                      .with("why", reason)
                      .write());
    }
  }

  private void mergeVerdict(VerdictRow row) {
    trials.setQuarantinedAt(row.fingerprint(), row.quarantinedAtMillis());
    quarantine.merge(
        new SuspectUpdate(List.of(row.toReport(timeOfDayMillis.getAsLong())), List.of()));
  }

  private void withdrawVerdict(String key) {
    keys.remove(key);
    RequestFingerprint.parse(key).ifPresent(quarantine::withdrawCrashes);
  }

  private void onVerdict(QuarantineVerdict verdict) {
    verdicts.put(verdict.fingerprint(), verdict);
    keys.onQuarantined(verdict.fingerprint());
    restoredRowCleaner.onQuarantined(verdict.fingerprint());
    trials.setQuarantinedAtIfAbsent(
        verdict.fingerprint(), timeOfDayMillis.getAsLong() - verdict.ageMillis());
    events
        .change("request-held-back")
        .with("fingerprint", verdict.fingerprint().toString())
        .with("upstreams", String.join(",", verdict.incarnationIds()))
        .with("seen", verdict.decidedLocally() ? "here" : "told")
        .write();
    scheduleWrite(verdict, verdict.decidedLocally() ? 0 : FALLBACK_WRITE_MILLIS);
  }

  private void scheduleWrite(QuarantineVerdict verdict, long delayMillis) {
    loop.schedule(() -> writeUnlessStored(verdict), delayMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Writes a verdict unless it is stored or withdrawn, and retries until the table is available.
   */
  private void writeUnlessStored(QuarantineVerdict verdict) {
    RequestFingerprint fingerprint = verdict.fingerprint();
    if (keys.isStored(fingerprint.toString()) || !quarantine.isQuarantined(fingerprint)) {
      return;
    }
    if (!verdict.decidedLocally() && !isWriter.getAsBoolean()) {
      scheduleWrite(verdict, FALLBACK_WRITE_MILLIS);
      return;
    }
    long quarantinedAt = trials.quarantinedAt(fingerprint);
    table
        .create(new VerdictRow(fingerprint, verdict.incarnationIds(), quarantinedAt).toTableRow())
        .subscribe(
            created -> loop.execute(() -> keys.addWritten(fingerprint.toString())),
            failure ->
                loop.execute(
                    () -> {
                      logNotWritten(fingerprint.toString(), failure);
                      scheduleWrite(verdict, RETRY_MILLIS);
                    }));
  }

  private void logNotWritten(String key, Throwable failure) {
    events
        .problem("verdict-not-written")
        .with("fingerprint", key)
        .with("why", String.valueOf(failure))
        .write();
  }

  /**
   * Removes the rows of a request only if its crashes were withdrawn. A verdict that other requests
   * explain keeps its row: boxes may disagree temporarily, and removing the row withdraws the
   * crashes at all boxes.
   */
  private void onRelease(RequestFingerprint fingerprint) {
    verdicts.remove(fingerprint);
    events.change("request-let-go").with("fingerprint", fingerprint.toString()).write();
    if (quarantine.crashCount(fingerprint) == 0) {
      removeRows(fingerprint);
    }
  }

  private void removeRows(RequestFingerprint fingerprint) {
    trials.remove(fingerprint);
    List<String> stored = keys.storedKeys(fingerprint, TableBackedTrials.TRIAL_DELAYS.size());
    stored.forEach(keys::remove);
    keys.remove(fingerprint.toString());
    if (!stored.isEmpty()) {
      table
          .remove(stored)
          .subscribe(
              ignored -> {},
              failure -> loop.execute(() -> logNotWritten(fingerprint.toString(), failure)));
    }
  }

  @Override
  public Optional<Duration> timeUntilNext(RequestFingerprint fingerprint) {
    return trials.timeUntilNext(fingerprint);
  }

  @Override
  public Mono<Boolean> claim(RequestFingerprint fingerprint) {
    return trials.claim(fingerprint);
  }
}
