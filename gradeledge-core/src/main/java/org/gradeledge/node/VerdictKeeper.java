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
final class VerdictKeeper implements TableListener, QuarantineTrials {

  /** The box that reached a verdict writes it at once; others on duty look after so long. */
  private static final long OTHERS_WRITE_MILLIS = 2_000;

  private static final long TRY_AGAIN_MILLIS = 1_000;

  private final Quarantine quarantine;
  private final WritableTable table;
  private final EventLoop loop;
  private final LongSupplier timeOfDayMillis;
  private final BooleanSupplier onDuty;
  private final EventLog events;
  private final VerdictRowKeys keys = new VerdictRowKeys();
  private final HeldBackTrials trials;
  private final ReturnedVerdictRows returned;

  /** Verdicts that hold, to be written again where the table loses them. */
  private final Map<RequestFingerprint, QuarantineVerdict> verdicts = new HashMap<>();

  private boolean olderCopy;

  /**
   * Creates the keeper.
   *
   * @param timeOfDayMillis milliseconds since 1970; the only clock that all lives of all boxes
   *     share, and exact enough for minutes
   * @param onDuty whether this box writes what the box that reached a verdict did not
   */
  VerdictKeeper(
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
    this.onDuty = onDuty;
    this.events = events;
    this.trials = new HeldBackTrials(keys, table, loop, timeOfDayMillis, onDuty, events);
    this.returned = new ReturnedVerdictRows(table, loop, onDuty, events);
    quarantine.onVerdict(this::reached);
    quarantine.onRelease(this::released);
  }

  /** What the copy lacks nobody has lifted, and what it has again may have been lifted since. */
  @Override
  public void onBackupRestored() {
    olderCopy = true;
  }

  @Override
  public void onContent(TableContent content) {
    if (olderCopy) {
      olderCopy = false;
      takeCopy(content);
      return;
    }
    Set<String> before = keys.beginReading();
    content.rows().forEach(this::take);
    before.stream().filter(key -> !hasRow(content, key)).forEach(this::gone);
  }

  private void takeCopy(TableContent content) {
    Set<String> before = keys.beginCopy();
    content.rows().stream().filter(row -> !keys.isLifted(row.key())).forEach(this::take);
    returned.removeAgain(
        content.rows().stream().map(TableRow::key).filter(keys::isLifted).toList());
    before.stream().filter(key -> !hasRow(content, key)).forEach(this::keepTrial);
    verdicts.values().stream()
        .filter(verdict -> !hasRow(content, verdict.fingerprint().toString()))
        .forEach(verdict -> write(verdict, 0));
  }

  private static boolean hasRow(TableContent content, String key) {
    return content.rows().stream().anyMatch(row -> row.key().equals(key));
  }

  /** A trial stays spent here, whoever writes its row again. */
  private void keepTrial(String key) {
    if (VerdictRow.trialOf(key).isPresent()) {
      trials.writeAgain(key);
    }
  }

  @Override
  public void onChanges(TableChanges changes) {
    changes.put().forEach(this::take);
    changes.removed().forEach(this::removed);
  }

  /** A row that was never read here may have been lifted too: an older copy has it again. */
  private void removed(String key) {
    returned.gone(key);
    if (keys.isStored(key)) {
      gone(key);
    } else if (!isHeldBack(key)) {
      keys.remove(key);
    }
  }

  private boolean isHeldBack(String key) {
    return VerdictRow.trialOf(key)
        .or(() -> RequestFingerprint.parse(key))
        .filter(quarantine::isQuarantined)
        .isPresent();
  }

  private void take(TableRow row) {
    keys.addRead(row.key());
    if (VerdictRow.trialOf(row.key()).isEmpty()) {
      VerdictRow.read(row)
          .peek(this::hold)
          .peekLeft(
              why ->
                  events
                      .problem("verdict-row-unreadable")
                      .with("key", row.key())
                      .with("why", why)
                      .write());
    }
  }

  private void hold(VerdictRow row) {
    trials.since(row.fingerprint(), row.sinceMillis());
    quarantine.merge(
        new SuspectUpdate(List.of(row.report(timeOfDayMillis.getAsLong())), List.of()));
  }

  private void gone(String key) {
    keys.remove(key);
    RequestFingerprint.parse(key).ifPresent(quarantine::withdrawCrashes);
  }

  private void reached(QuarantineVerdict verdict) {
    verdicts.put(verdict.fingerprint(), verdict);
    keys.heldBack(verdict.fingerprint());
    returned.heldBack(verdict.fingerprint());
    trials.sinceAtMost(verdict.fingerprint(), timeOfDayMillis.getAsLong() - verdict.ageMillis());
    events
        .change("request-held-back")
        .with("fingerprint", verdict.fingerprint().toString())
        .with("upstreams", String.join(",", verdict.incarnationIds()))
        .with("seen", verdict.decidedLocally() ? "here" : "told")
        .write();
    write(verdict, verdict.decidedLocally() ? 0 : OTHERS_WRITE_MILLIS);
  }

  private void write(QuarantineVerdict verdict, long delayMillis) {
    loop.schedule(() -> writeUnlessStored(verdict), delayMillis, TimeUnit.MILLISECONDS);
  }

  /** Also what was reached while the store was away is written once it is back. */
  private void writeUnlessStored(QuarantineVerdict verdict) {
    RequestFingerprint fingerprint = verdict.fingerprint();
    if (keys.isStored(fingerprint.toString()) || !quarantine.isQuarantined(fingerprint)) {
      return;
    }
    if (!verdict.decidedLocally() && !onDuty.getAsBoolean()) {
      write(verdict, OTHERS_WRITE_MILLIS);
      return;
    }
    long since = trials.sinceOf(fingerprint);
    table
        .create(new VerdictRow(fingerprint, verdict.incarnationIds(), since).write())
        .subscribe(
            created -> loop.execute(() -> keys.addWritten(fingerprint.toString())),
            failure ->
                loop.execute(
                    () -> {
                      notWritten(fingerprint.toString(), failure);
                      write(verdict, TRY_AGAIN_MILLIS);
                    }));
  }

  private void notWritten(String key, Throwable failure) {
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
  private void released(RequestFingerprint fingerprint) {
    verdicts.remove(fingerprint);
    events.change("request-let-go").with("fingerprint", fingerprint.toString()).write();
    if (quarantine.crashCount(fingerprint) == 0) {
      removeRows(fingerprint);
    }
  }

  private void removeRows(RequestFingerprint fingerprint) {
    trials.forget(fingerprint);
    List<String> stored = keys.storedOf(fingerprint, HeldBackTrials.TRIALS.size());
    stored.forEach(keys::remove);
    keys.remove(fingerprint.toString());
    if (!stored.isEmpty()) {
      table
          .remove(stored)
          .subscribe(
              ignored -> {},
              failure -> loop.execute(() -> notWritten(fingerprint.toString(), failure)));
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
