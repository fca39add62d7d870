package org.gradeledge.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gradeledge.event.EventLogs;
import org.gradeledge.follow.TableChanges;
import org.gradeledge.follow.TableRow;
import org.gradeledge.quarantine.Quarantine;
import org.gradeledge.quarantine.RequestFingerprint;
import org.gradeledge.quarantine.SuspectUpdate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The table of verdicts comes back as an older copy of itself, in virtual time. */
class OlderCopyOfVerdictsTests {

  private static final RequestFingerprint GUILTY = new RequestFingerprint(1, 2, 3);
  private static final String KEY = GUILTY.toString();
  private static final String FIRST_TRIAL = VerdictRow.trialKey(GUILTY, 1);

  private final TableInMemory table = new TableInMemory();
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private long nowMillis = TimeUnit.DAYS.toMillis(20_000);
  private final Quarantine quarantine =
      new Quarantine(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis));
  private boolean onDuty = true;
  private final VerdictKeeper keeper =
      new VerdictKeeper(
          quarantine,
          table,
          channel.eventLoop(),
          () -> nowMillis,
          () -> onDuty,
          EventLogs.silent());

  @BeforeEach
  void hold() {
    channel.freezeTime();
    for (String start : List.of("a", "b", "c")) {
      quarantine.recordCrash(GUILTY, start);
    }
    pass(10);
    read();
    assertThat(table.keys()).containsExactly(KEY);
  }

  @Test
  void aVerdictThatTheCopyLacksHoldsAndIsWrittenAgainOnce() {
    drill(List.of());

    assertThat(quarantine.isQuarantined(GUILTY)).isTrue();
    pass(10);
    assertThat(table.keys()).containsExactly(KEY);
    assertThat(table.creations).isEqualTo(2);
  }

  @Test
  void alsoOneThatWasWrittenAndNotReadYet() {
    RequestFingerprint other = new RequestFingerprint(4, 5, 6);
    for (String start : List.of("d", "e", "f")) {
      quarantine.recordCrash(other, start);
    }
    pass(10);
    pass(1);

    drill(List.of());
    pass(10);

    assertThat(table.keys()).containsExactlyInAnyOrder(KEY, other.toString());
  }

  @Test
  void aTrialThatWasSpentStaysSpentAndIsWrittenAgain() {
    keeper.claim(GUILTY).block();
    read();
    List<TableRow> copy =
        table.content().rows().stream().filter(row -> row.key().equals(KEY)).toList();

    drill(copy);
    pass(10);

    assertThat(keeper.timeUntilNext(GUILTY).orElseThrow().toMinutes()).isGreaterThan(100);
    assertThat(table.keys()).containsExactlyInAnyOrder(KEY, FIRST_TRIAL);
  }

  @Test
  void oneThatAnOperatorLiftedStaysLiftedThoughTheCopyHasIt() {
    List<TableRow> copy = table.content().rows();
    table.remove(List.of(KEY)).block();
    read();
    assertThat(quarantine.isQuarantined(GUILTY)).isFalse();

    drill(copy);

    assertThat(quarantine.isQuarantined(GUILTY)).isFalse();
    assertThat(table.keys()).isEmpty();
  }

  // Guards against a lifted verdict whose row comes back and stays, as its row was never read here.
  @Test
  void oneThatWasLiftedBeforeItsRowWasReadHereStaysLifted() {
    RequestFingerprint other = new RequestFingerprint(4, 5, 6);
    String key = other.toString();
    TableRow row = new VerdictRow(other, List.of("d", "e", "f"), nowMillis).write();

    keeper.onChanges(new TableChanges(9, List.of(), List.of(key)));
    drill(List.of(table.content().rows().get(0), row));

    assertThat(quarantine.isQuarantined(other)).isFalse();
    assertThat(table.keys()).containsExactly(KEY);
  }

  // Guards against the same where other boxes have told of the lifting before the table did.
  @Test
  void oneThatOthersToldIsLiftedBeforeItsRowWasReadHereStaysLifted() {
    RequestFingerprint other = new RequestFingerprint(4, 5, 6);
    onDuty = false;
    quarantine.merge(
        new SuspectUpdate(
            List.of(new VerdictRow(other, List.of("d", "e", "f"), nowMillis).report(nowMillis)),
            List.of()));
    TableRow row = new VerdictRow(other, List.of("d", "e", "f"), nowMillis).write();
    pass(1);
    quarantine.withdrawCrashes(other);
    pass(1);
    onDuty = true;

    drill(List.of(table.content().rows().get(0), row));

    assertThat(table.keys()).containsExactly(KEY);
  }

  // Guards against a row that comes back and stays, as no box on duty knows that it was lifted.
  @Test
  void aBoxThatIsNotOnDutyRemovesItAgainIfNobodyElseDoes() {
    List<TableRow> copy = table.content().rows();
    table.remove(List.of(KEY)).block();
    read();
    onDuty = false;

    drill(copy);
    assertThat(table.keys()).containsExactly(KEY);
    pass(20_000);

    assertThat(table.keys()).isEmpty();
  }

  @Test
  void aBoxThatIsNotOnDutyLeavesItToThoseThatAre() {
    List<TableRow> copy = table.content().rows();
    table.remove(List.of(KEY)).block();
    read();
    onDuty = false;
    drill(copy);
    table.remove(List.of(KEY)).block();
    keeper.onChanges(new TableChanges(9, List.of(), List.of(KEY)));
    int before = table.removals;

    pass(20_000);

    assertThat(table.removals).isEqualTo(before);
  }

  // Guards against a row that comes back and stays, as the call that removes it again failed.
  @Test
  void aRemovalThatFailsIsTriedAgain() {
    List<TableRow> copy = table.content().rows();
    table.remove(List.of(KEY)).block();
    read();
    table.away = true;
    drill(copy);

    table.away = false;
    pass(2_000);

    assertThat(table.keys()).isEmpty();
  }

  @Test
  void oneThatWasLiftedAndReachedAgainIsHeld() {
    List<TableRow> copy = table.content().rows();
    table.remove(List.of(KEY)).block();
    read();
    nowMillis += 5_000;
    for (String start : List.of("g", "h", "i")) {
      quarantine.recordCrash(GUILTY, start);
    }
    pass(10);

    drill(copy);
    pass(10);

    assertThat(quarantine.isQuarantined(GUILTY)).isTrue();
    assertThat(table.keys()).containsExactly(KEY);
  }

  @Test
  void afterTheCopyARowThatGoesIsLiftedAsEver() {
    drill(List.of());
    pass(10);
    read();

    table.remove(List.of(KEY)).block();
    read();

    assertThat(quarantine.isQuarantined(GUILTY)).isFalse();
  }

  @Test
  void oneThatCannotBeWrittenAgainYetIsWrittenLater() {
    table.away = true;
    drill(List.of());
    pass(3_000);
    assertThat(table.keys()).isEmpty();

    table.away = false;
    pass(2_000);

    assertThat(table.keys()).containsExactly(KEY);
  }

  private void drill(List<TableRow> copy) {
    table.comeBackAs(copy);
    keeper.onBackupRestored();
    read();
  }

  private void read() {
    keeper.onContent(table.content());
    pass(1);
  }

  private void pass(long millis) {
    nowMillis += millis;
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runPendingTasks();
  }
}
