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
class VerdictKeeperTests {

  private static final RequestFingerprint GUILTY = new RequestFingerprint(1, 2, 3);
  private static final String KEY = GUILTY.toString();

  private final TableInMemory table = new TableInMemory();
  private final List<Life> boxes = new ArrayList<>();
  private long nowMillis = TimeUnit.DAYS.toMillis(20_000);

  /** One life of a box: whatever only it knew goes with it. */
  private final class Life {

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Quarantine quarantine =
        new Quarantine(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis));
    private final VerdictKeeper keeper;
    private boolean onDuty;

    Life() {
      channel.freezeTime();
      keeper =
          new VerdictKeeper(
              quarantine,
              table,
              channel.eventLoop(),
              () -> nowMillis,
              () -> onDuty,
              EventLogs.silent());
      boxes.add(this);
    }

    void reachVerdict() {
      for (String start : List.of("a", "b", "c")) {
        quarantine.recordCrash(GUILTY, start);
      }
    }

    void read() {
      keeper.onContent(table.content());
    }
  }

  @Test
  void aVerdictOutlastsAllBoxes() {
    new Life().reachVerdict();
    pass(1);

    Life next = new Life();
    next.read();

    assertThat(next.quarantine.isQuarantined(GUILTY)).isTrue();
    assertThat(next.keeper.timeUntilNext(GUILTY)).contains(Duration.ofMinutes(10).minusMillis(1));
  }

  @Test
  void whatCouldNotBeWrittenIsWrittenOnceTheStoreIsBack() {
    table.away = true;
    new Life().reachVerdict();
    pass(5_000);
    assertThat(table.keys()).isEmpty();

    table.away = false;
    pass(2_000);

    assertThat(table.keys()).containsExactly(KEY);
  }

  @Test
  void whereTheBoxThatReachedItIsGoneOneOnDutyWritesIt() {
    Life gone = new Life();
    Life told = new Life();
    Life onDuty = new Life();
    onDuty.onDuty = true;
    table.away = true;
    gone.reachVerdict();
    told.quarantine.merge(gone.quarantine.snapshot());
    onDuty.quarantine.merge(gone.quarantine.snapshot());
    boxes.remove(gone);
    table.away = false;
    pass(1_000);
    assertThat(table.keys()).isEmpty();

    pass(2_000);

    assertThat(table.keys()).containsExactly(KEY);
    assertThat(table.creations).isEqualTo(1);
  }

  @Test
  void aRowThatAnOperatorRemovesLiftsTheVerdict() {
    Life box = new Life();
    box.reachVerdict();
    pass(1);
    box.read();

    box.keeper.onChanges(new TableChanges(9, List.of(), List.of(KEY)));

    assertThat(box.quarantine.isQuarantined(GUILTY)).isFalse();
  }

  @Test
  void aRowThatIsMissingFromTheWholeTableLiftsTheVerdictToo() {
    Life box = new Life();
    box.reachVerdict();
    pass(1);
    box.read();
    pass(1);

    box.keeper.onContent(new TableContent(9, List.of()));

    assertThat(box.quarantine.isQuarantined(GUILTY)).isFalse();
  }

  @Test
  void aVerdictThatIsNotWrittenYetIsNotTakenForLifted() {
    table.away = true;
    Life box = new Life();
    box.reachVerdict();

    box.keeper.onContent(new TableContent(9, List.of()));

    assertThat(box.quarantine.isQuarantined(GUILTY)).isTrue();
  }

  /** A reading that began before the row was written tells of the time before. */
  @Test
  void aReadingThatIsOlderThanTheRowLiftsNothing() {
    Life box = new Life();
    TableContent before = table.content();
    box.reachVerdict();
    pass(1);
    assertThat(table.keys()).containsExactly(KEY);

    box.keeper.onContent(before);

    assertThat(box.quarantine.isQuarantined(GUILTY)).isTrue();
  }

  /**
   * Boxes may judge differently for a moment. A row that one of them removed for that would lift
   * the verdict at all, and clear what ended.
   */
  @Test
  void aVerdictThatOthersExplainKeepsItsRowAndIsNoneAfterAllBoxesWereLost() {
    RequestFingerprint innocent = new RequestFingerprint(9, 9, 9);
    Life box = new Life();
    for (String start : List.of("a", "b", "c")) {
      box.quarantine.recordCrash(innocent, start);
    }
    pass(1);
    for (String start : List.of("a", "b", "c", "d")) {
      box.quarantine.recordCrash(GUILTY, start);
    }
    pass(1);
    assertThat(box.quarantine.quarantined()).containsExactly(GUILTY);
    assertThat(table.keys()).contains(KEY, innocent.toString());

    Life next = new Life();
    next.read();
    next.quarantine.recordCrash(GUILTY, "d");

    assertThat(next.quarantine.quarantined()).containsExactly(GUILTY);
  }

  @Test
  void anAnsweredRequestLosesItsRow() {
    Life box = new Life();
    box.reachVerdict();
    pass(1);

    box.quarantine.recordSuccess(GUILTY);
    pass(1);

    assertThat(table.keys()).isEmpty();
  }

  @Test
  void rowsThatSayNothingAreLeftAlone() {
    Life box = new Life();

    box.keeper.onContent(
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
  void allBoxesTogetherTryTwiceAtMost() {
    Life first = new Life();
    first.reachVerdict();
    pass(1);
    Life second = new Life();
    second.read();
    assertThat(granted(first)).isZero();

    pass(TimeUnit.MINUTES.toMillis(10));
    assertThat(granted(first, second)).isEqualTo(1);
    first.read();
    second.read();
    assertThat(granted(first, second)).isZero();

    pass(TimeUnit.HOURS.toMillis(2));
    assertThat(granted(second, first)).isEqualTo(1);
    first.read();
    second.read();
    pass(TimeUnit.DAYS.toMillis(9));
    assertThat(granted(first, second)).isZero();
    assertThat(second.keeper.timeUntilNext(GUILTY)).isEmpty();
  }

  /** A box that has not read that another one took the trial asks and is told no. */
  @Test
  void aTrialThatAnotherBoxTookIsNotGranted() {
    Life first = new Life();
    first.reachVerdict();
    pass(1);
    Life second = new Life();
    second.read();
    pass(TimeUnit.MINUTES.toMillis(10));

    assertThat(first.keeper.claim(GUILTY).block()).isTrue();
    assertThat(second.keeper.claim(GUILTY).block()).isFalse();
  }

  private long granted(Life... asking) {
    return List.of(asking).stream()
        .filter(box -> isDue(box.keeper.timeUntilNext(GUILTY)))
        .filter(box -> box.keeper.claim(GUILTY).block())
        .count();
  }

  private static boolean isDue(Optional<Duration> until) {
    return until.filter(Duration::isZero).isPresent();
  }

  private void pass(long millis) {
    nowMillis += millis;
    for (Life box : boxes) {
      box.channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
      for (int turn = 0; turn < 5; turn++) {
        box.channel.runPendingTasks();
      }
    }
  }
}
