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
 * Keeps verdicts in the platform's table, so that they outlast the boxes: all of them may be lost
 * at one moment. A row that goes, as an operator removes it, lifts the verdict.
 *
 * <p>Confined to the event loop.
 */
final class QuarantineVerdictStore implements TableListener, QuarantineTrials {

  /** The box that reached a verdict writes it at once; others on duty look after so long. */
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

  /** Verdicts that hold, to be written again where the table loses them. */
  private final Map<RequestFingerprint, QuarantineVerdict> verdicts = new HashMap<>();

  private boolean backupRestored;

  /**
   * Creates the keeper.
   *
   * @param timeOfDayMillis milliseconds since 1970; the only clock that all lives of all boxes
   *     share, and exact enough for minutes
   * @param onDuty whether this box writes what the box that reached a verdict did not
   */
  QuarantineVerdictStore(
      Quarantine quarantine,
      WritableTable table,
      EventLoop loop,
      LongSupplier timeOfDayMillis,
      BooleanSupplier onDuty,
      EventLog events) {
    this.quarantine = quarantine;
    this.table = table;
    this.loop = loop;
    this.timeOfDayMillis = timeOfDayMillis;
    this.isWriter = onDuty;
    this.events = events;
    this.trials = new TableBackedTrials(keys, table, loop, timeOfDayMillis, onDuty, events);
    this.restoredRowCleaner = new RestoredRowCleaner(table, loop, onDuty, events);
    quarantine.onVerdict(this::onVerdict);
    quarantine.onRelease(this::onRelease);
  }

  /** What the copy lacks nobody has lifted, and what it has again may have been lifted since. */
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
    Set<String> before = keys.startRead();
    content.rows().forEach(this::take);
    before.stream().filter(key -> !containsRow(content, key)).forEach(this::withdrawVerdict);
  }

  private void mergeRestored(TableContent content) {
    Set<String> before = keys.startRestoredRead();
    content.rows().stream().filter(row -> !keys.isWithdrawn(row.key())).forEach(this::take);
    restoredRowCleaner.removeRestored(
        content.rows().stream().map(TableRow::key).filter(keys::isWithdrawn).toList());
    before.stream().filter(key -> !containsRow(content, key)).forEach(this::rewriteIfTrial);
    verdicts.values().stream()
        .filter(verdict -> !containsRow(content, verdict.fingerprint().toString()))
        .forEach(verdict -> scheduleWrite(verdict, 0));
  }

  private static boolean containsRow(TableContent content, String key) {
    return content.rows().stream().anyMatch(row -> row.key().equals(key));
  }

  /** A trial stays spent here, whoever writes its row again. */
  private void rewriteIfTrial(String key) {
    if (VerdictRow.fingerprintOfTrial(key).isPresent()) {
      trials.rewriteTrial(key);
    }
  }

  @Override
  public void onChanges(TableChanges changes) {
    changes.put().forEach(this::take);
    changes.removed().forEach(this::onRowRemoved);
  }

  /** A row that was never read here may have been lifted too: an older copy has it again. */
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

  private void take(TableRow row) {
    keys.addRead(row.key());
    if (VerdictRow.fingerprintOfTrial(row.key()).isEmpty()) {
      VerdictRow.read(row)
          .peek(this::mergeVerdict)
          .peekLeft(
              why ->
                  events
                      .problem("verdict-row-unreadable")
                      .with("key", row.key())
                      .with("why", why)
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

  /** Also what was reached while the store was away is written once it is back. */
  private void writeUnlessStored(QuarantineVerdict verdict) {
    RequestFingerprint fingerprint = verdict.fingerprint();
    if (keys.isStored(fingerprint.toString()) || !quarantine.isQuarantined(fingerprint)) {
      return;
    }
    if (!verdict.decidedLocally() && !isWriter.getAsBoolean()) {
      scheduleWrite(verdict, FALLBACK_WRITE_MILLIS);
      return;
    }
    long since = trials.quarantinedAt(fingerprint);
    table
        .create(new VerdictRow(fingerprint, verdict.incarnationIds(), since).toTableRow())
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
   * Only a request that is cleared loses its row. One whose ends others explain keeps it: boxes may
   * judge differently for a moment, and a row that goes clears the request at all of them.
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
