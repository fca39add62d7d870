package org.gradeledge.node;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
import org.gradeledge.quarantine.RequestFingerprint;
import org.gradeledge.quarantine.SuspectNews;
import org.gradeledge.quarantine.Trials;
import org.gradeledge.quarantine.Verdict;
import reactor.core.publisher.Mono;

/**
 * Keeps verdicts in the platform's table, so that they outlast the boxes: all of them may be lost
 * at one moment. A row that goes, as an operator removes it, lifts the verdict.
 *
 * <p>Confined to the event loop.
 */
final class VerdictKeeper implements TableListener, Trials {

  /**
   * When a request that is held back is tried once more, counted from the verdict. Upstreams may
   * have been mended by then; each trial may end one, so that there are two, and the deployment
   * allows three in all.
   */
  private static final List<Duration> TRIALS = List.of(Duration.ofMinutes(10), Duration.ofHours(2));

  /** The box that reached a verdict writes it at once; others on duty look after so long. */
  private static final long OTHERS_WRITE_MILLIS = 2_000;

  private static final long TRY_AGAIN_MILLIS = 1_000;

  private final Quarantine quarantine;
  private final WritableTable table;
  private final EventLoop loop;
  private final LongSupplier timeOfDayMillis;
  private final BooleanSupplier onDuty;
  private final EventLog events;
  private final Map<RequestFingerprint, Long> sinceMillis = new HashMap<>();

  /**
   * Keys of rows that were read. What this box has written may be missing from an older reading.
   */
  private final Set<String> read = new HashSet<>();

  private final Set<String> written = new HashSet<>();

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
    quarantine.onVerdict(this::reached);
    quarantine.onRelease(this::released);
  }

  @Override
  public void onContent(TableContent content) {
    Set<String> before = Set.copyOf(read);
    read.clear();
    content.rows().forEach(this::take);
    before.stream().filter(key -> !read.contains(key)).forEach(this::gone);
  }

  @Override
  public void onChanges(TableChanges changes) {
    changes.put().forEach(this::take);
    changes.removed().stream().filter(this::isStored).forEach(this::gone);
  }

  private void take(TableRow row) {
    read.add(row.key());
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
    sinceMillis.put(row.fingerprint(), row.sinceMillis());
    quarantine.merge(new SuspectNews(List.of(row.report(timeOfDayMillis.getAsLong())), List.of()));
  }

  private boolean isStored(String key) {
    return read.contains(key) || written.contains(key);
  }

  private void gone(String key) {
    read.remove(key);
    written.remove(key);
    RequestFingerprint.parse(key).ifPresent(quarantine::lift);
  }

  private void reached(Verdict verdict) {
    sinceMillis.putIfAbsent(
        verdict.fingerprint(), timeOfDayMillis.getAsLong() - verdict.ageMillis());
    events
        .change("request-held-back")
        .with("fingerprint", verdict.fingerprint().toString())
        .with("upstreams", String.join(",", verdict.starts()))
        .with("seen", verdict.decidedHere() ? "here" : "told")
        .write();
    write(verdict, verdict.decidedHere() ? 0 : OTHERS_WRITE_MILLIS);
  }

  private void write(Verdict verdict, long delayMillis) {
    loop.schedule(() -> writeUnlessStored(verdict), delayMillis, TimeUnit.MILLISECONDS);
  }

  /** Also what was reached while the store was away is written once it is back. */
  private void writeUnlessStored(Verdict verdict) {
    RequestFingerprint fingerprint = verdict.fingerprint();
    if (isStored(fingerprint.toString()) || !quarantine.bars(fingerprint)) {
      return;
    }
    if (!verdict.decidedHere() && !onDuty.getAsBoolean()) {
      write(verdict, OTHERS_WRITE_MILLIS);
      return;
    }
    long since = sinceMillis.getOrDefault(fingerprint, timeOfDayMillis.getAsLong());
    table
        .create(new VerdictRow(fingerprint, verdict.starts(), since).write())
        .subscribe(
            created -> loop.execute(() -> written.add(fingerprint.toString())),
            failure ->
                loop.execute(
                    () -> {
                      notWritten(fingerprint, failure);
                      write(verdict, TRY_AGAIN_MILLIS);
                    }));
  }

  private void notWritten(RequestFingerprint fingerprint, Throwable failure) {
    events
        .problem("verdict-not-written")
        .with("fingerprint", fingerprint.toString())
        .with("why", String.valueOf(failure))
        .write();
  }

  /**
   * Only a request that is cleared loses its row. One whose ends others explain keeps it: boxes may
   * judge differently for a moment, and a row that goes clears the request at all of them.
   */
  private void released(RequestFingerprint fingerprint) {
    events.change("request-let-go").with("fingerprint", fingerprint.toString()).write();
    if (quarantine.endsUnder(fingerprint) == 0) {
      removeRows(fingerprint);
    }
  }

  private void removeRows(RequestFingerprint fingerprint) {
    sinceMillis.remove(fingerprint);
    List<String> keys = new ArrayList<>();
    keys.add(fingerprint.toString());
    for (int number = 1; number <= TRIALS.size(); number++) {
      keys.add(VerdictRow.trialKey(fingerprint, number));
    }
    keys.removeIf(key -> !isStored(key));
    read.removeAll(keys);
    written.removeAll(keys);
    if (!keys.isEmpty()) {
      table
          .remove(keys)
          .subscribe(
              ignored -> {}, failure -> loop.execute(() -> notWritten(fingerprint, failure)));
    }
  }

  @Override
  public Optional<Duration> untilNext(RequestFingerprint fingerprint) {
    Long since = sinceMillis.get(fingerprint);
    int taken = trialsTaken(fingerprint);
    if (since == null || taken == TRIALS.size()) {
      return Optional.empty();
    }
    long age = timeOfDayMillis.getAsLong() - since;
    return Optional.of(Duration.ofMillis(Math.max(0, TRIALS.get(taken).toMillis() - age)));
  }

  @Override
  public Mono<Boolean> take(RequestFingerprint fingerprint) {
    String key = VerdictRow.trialKey(fingerprint, trialsTaken(fingerprint) + 1);
    written.add(key);
    return table
        .create(new TableRow(key, new byte[0]))
        .doOnNext(granted -> loop.execute(() -> tellTrial(fingerprint, granted)));
  }

  private void tellTrial(RequestFingerprint fingerprint, boolean granted) {
    events
        .change("held-back-request-tried")
        .with("fingerprint", fingerprint.toString())
        .with("granted", granted ? "yes" : "to another box")
        .write();
  }

  private int trialsTaken(RequestFingerprint fingerprint) {
    int taken = 0;
    while (isStored(VerdictRow.trialKey(fingerprint, taken + 1))) {
      taken++;
    }
    return taken;
  }
}
