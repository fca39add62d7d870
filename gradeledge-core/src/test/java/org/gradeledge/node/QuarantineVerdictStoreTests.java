package org.gradeledge.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gradeledge.event.EventLogs;
import org.gradeledge.follow.TableChanges;
import org.gradeledge.follow.TableContent;
import org.gradeledge.follow.TableRow;
import org.gradeledge.quarantine.Quarantine;
import org.gradeledge.quarantine.RequestFingerprint;
import org.junit.jupiter.api.Test;

/** Verdicts outlast the boxes, in virtual time. */
class QuarantineVerdictStoreTests {

  private static final RequestFingerprint CRASHING = new RequestFingerprint(1, 2, 3);
  private static final String KEY = CRASHING.toString();

  private final FakeWritableTable table = new FakeWritableTable();
  private final List<Box> boxes = new ArrayList<>();
  private long nowMillis = TimeUnit.DAYS.toMillis(20_000);

  /** One life of a box: whatever only it knew goes with it. */
  private final class Box {

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Quarantine quarantine =
        new Quarantine(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis));
    private final QuarantineVerdictStore store;
    private boolean isWriter;

    Box() {
      channel.freezeTime();
      store =
          new QuarantineVerdictStore(
              quarantine,
              table,
              channel.eventLoop(),
              () -> nowMillis,
              () -> isWriter,
              EventLogs.silent());
      boxes.add(this);
    }

    void reachVerdict() {
      for (String start : List.of("a", "b", "c")) {
        quarantine.recordCrash(CRASHING, start);
      }
    }

    void read() {
      store.onContent(table.content());
    }
  }

  @Test
  void restoresVerdictWhenAllBoxesAreLost() {
    new Box().reachVerdict();
    advance(1);

    Box next = new Box();
    next.read();

    assertThat(next.quarantine.isQuarantined(CRASHING)).isTrue();
    assertThat(next.store.timeUntilNext(CRASHING)).contains(Duration.ofMinutes(10).minusMillis(1));
  }

  @Test
  void writesVerdictOnceTableIsAvailable() {
    table.unavailable = true;
    new Box().reachVerdict();
    advance(5_000);
    assertThat(table.keys()).isEmpty();

    table.unavailable = false;
    advance(2_000);

    assertThat(table.keys()).containsExactly(KEY);
  }

  @Test
  void writerWritesVerdictOfLostBox() {
    Box gone = new Box();
    Box told = new Box();
    Box onDuty = new Box();
    onDuty.isWriter = true;
    table.unavailable = true;
    gone.reachVerdict();
    told.quarantine.merge(gone.quarantine.snapshot());
    onDuty.quarantine.merge(gone.quarantine.snapshot());
    boxes.remove(gone);
    table.unavailable = false;
    advance(1_000);
    assertThat(table.keys()).isEmpty();

    advance(2_000);

    assertThat(table.keys()).containsExactly(KEY);
    assertThat(table.creationCount).isEqualTo(1);
  }

  @Test
  void withdrawsVerdictWhenRowIsRemoved() {
    Box box = new Box();
    box.reachVerdict();
    advance(1);
    box.read();

    box.store.onChanges(new TableChanges(9, List.of(), List.of(KEY)));

    assertThat(box.quarantine.isQuarantined(CRASHING)).isFalse();
  }

  @Test
  void withdrawsVerdictWhenRowIsMissingFromFullRead() {
    Box box = new Box();
    box.reachVerdict();
    advance(1);
    box.read();
    advance(1);

    box.store.onContent(new TableContent(9, List.of()));

    assertThat(box.quarantine.isQuarantined(CRASHING)).isFalse();
  }

  @Test
  void keepsVerdictThatIsNotYetWritten() {
    table.unavailable = true;
    Box box = new Box();
    box.reachVerdict();

    box.store.onContent(new TableContent(9, List.of()));

    assertThat(box.quarantine.isQuarantined(CRASHING)).isTrue();
  }

  /** A reading that began before the row was written tells of the time before. */
  @Test
  void keepsVerdictWhenReadPredatesRow() {
    Box box = new Box();
    TableContent before = table.content();
    box.reachVerdict();
    advance(1);
    assertThat(table.keys()).containsExactly(KEY);

    box.store.onContent(before);

    assertThat(box.quarantine.isQuarantined(CRASHING)).isTrue();
  }

  /**
   * Boxes may judge differently for a moment. A row that one of them removed for that would lift
   * the verdict at all, and clear what ended.
   */
  @Test
  void keepsRowOfVerdictExplainedByOtherRequests() {
    RequestFingerprint innocent = new RequestFingerprint(9, 9, 9);
    Box box = new Box();
    for (String start : List.of("a", "b", "c")) {
      box.quarantine.recordCrash(innocent, start);
    }
    advance(1);
    for (String start : List.of("a", "b", "c", "d")) {
      box.quarantine.recordCrash(CRASHING, start);
    }
    advance(1);
    assertThat(box.quarantine.quarantined()).containsExactly(CRASHING);
    assertThat(table.keys()).contains(KEY, innocent.toString());

    Box next = new Box();
    next.read();
    next.quarantine.recordCrash(CRASHING, "d");

    assertThat(next.quarantine.quarantined()).containsExactly(CRASHING);
  }

  @Test
  void removesRowOfAnsweredRequest() {
    Box box = new Box();
    box.reachVerdict();
    advance(1);

    box.quarantine.recordSuccess(CRASHING);
    advance(1);

    assertThat(table.keys()).isEmpty();
  }

  @Test
  void ignoresUnreadableRows() {
    Box box = new Box();

    box.store.onContent(
        new TableContent(
            3,
            List.of(
                new TableRow("no fingerprint", new byte[0]),
                new TableRow(KEY, "{\"ended\":7}".getBytes()),
                new TableRow("0" + KEY.substring(1), "no json".getBytes()))));

    assertThat(box.quarantine.quarantined()).isEmpty();
  }

  /** The deployment allows three retries in all; two are trials, by one box each. */
  @Test
  void grantsTwoTrialsToAllBoxesTogether() {
    Box first = new Box();
    first.reachVerdict();
    advance(1);
    Box second = new Box();
    second.read();
    assertThat(countGrantedTrials(first)).isZero();

    advance(TimeUnit.MINUTES.toMillis(10));
    assertThat(countGrantedTrials(first, second)).isEqualTo(1);
    first.read();
    second.read();
    assertThat(countGrantedTrials(first, second)).isZero();

    advance(TimeUnit.HOURS.toMillis(2));
    assertThat(countGrantedTrials(second, first)).isEqualTo(1);
    first.read();
    second.read();
    advance(TimeUnit.DAYS.toMillis(9));
    assertThat(countGrantedTrials(first, second)).isZero();
    assertThat(second.store.timeUntilNext(CRASHING)).isEmpty();
  }

  /** A box that has not read that another one took the trial asks and is told no. */
  @Test
  void doesNotGrantTrialClaimedByAnotherBox() {
    Box first = new Box();
    first.reachVerdict();
    advance(1);
    Box second = new Box();
    second.read();
    advance(TimeUnit.MINUTES.toMillis(10));

    assertThat(first.store.claim(CRASHING).block()).isTrue();
    assertThat(second.store.claim(CRASHING).block()).isFalse();
  }

  private long countGrantedTrials(Box... asking) {
    return List.of(asking).stream()
        .filter(box -> isDue(box.store.timeUntilNext(CRASHING)))
        .filter(box -> box.store.claim(CRASHING).block())
        .count();
  }

  private static boolean isDue(Optional<Duration> until) {
    return until.filter(Duration::isZero).isPresent();
  }

  private void advance(long millis) {
    nowMillis += millis;
    for (Box box : boxes) {
      box.channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
      for (int turn = 0; turn < 5; turn++) {
        box.channel.runPendingTasks();
      }
    }
  }
}
