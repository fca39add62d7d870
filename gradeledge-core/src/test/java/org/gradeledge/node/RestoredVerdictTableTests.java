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
class RestoredVerdictTableTests {

  private static final RequestFingerprint CRASHING = new RequestFingerprint(1, 2, 3);
  private static final String KEY = CRASHING.toString();
  private static final String FIRST_TRIAL = VerdictRow.trialKey(CRASHING, 1);

  private final FakeWritableTable table = new FakeWritableTable();
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private long nowMillis = TimeUnit.DAYS.toMillis(20_000);
  private final Quarantine quarantine =
      new Quarantine(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis));
  private boolean isWriter = true;
  private final QuarantineVerdictStore store =
      new QuarantineVerdictStore(
          quarantine,
          table,
          channel.eventLoop(),
          () -> nowMillis,
          () -> isWriter,
          EventLogs.silent());

  @BeforeEach
  void reachVerdict() {
    channel.freezeTime();
    for (String start : List.of("a", "b", "c")) {
      quarantine.recordCrash(CRASHING, start);
    }
    advance(10);
    read();
    assertThat(table.keys()).containsExactly(KEY);
  }

  @Test
  void rewritesVerdictMissingFromBackup() {
    restoreBackup(List.of());

    assertThat(quarantine.isQuarantined(CRASHING)).isTrue();
    advance(10);
    assertThat(table.keys()).containsExactly(KEY);
    assertThat(table.creationCount).isEqualTo(2);
  }

  @Test
  void rewritesVerdictThatWasNotReadBeforeRestore() {
    RequestFingerprint other = new RequestFingerprint(4, 5, 6);
    for (String start : List.of("d", "e", "f")) {
      quarantine.recordCrash(other, start);
    }
    advance(10);
    advance(1);

    restoreBackup(List.of());
    advance(10);

    assertThat(table.keys()).containsExactlyInAnyOrder(KEY, other.toString());
  }

  @Test
  void rewritesUsedTrialMissingFromBackup() {
    store.claim(CRASHING).block();
    read();
    List<TableRow> copy =
        table.content().rows().stream().filter(row -> row.key().equals(KEY)).toList();

    restoreBackup(copy);
    advance(10);

    assertThat(store.timeUntilNext(CRASHING).orElseThrow().toMinutes()).isGreaterThan(100);
    assertThat(table.keys()).containsExactlyInAnyOrder(KEY, FIRST_TRIAL);
  }

  @Test
  void removesRestoredRowThatOperatorHadRemoved() {
    List<TableRow> copy = table.content().rows();
    table.remove(List.of(KEY)).block();
    read();
    assertThat(quarantine.isQuarantined(CRASHING)).isFalse();

    restoreBackup(copy);

    assertThat(quarantine.isQuarantined(CRASHING)).isFalse();
    assertThat(table.keys()).isEmpty();
  }

  // Guards against a lifted verdict whose row comes back and stays, as its row was never read here.
  @Test
  void removesRestoredRowThatWasNeverReadHere() {
    RequestFingerprint other = new RequestFingerprint(4, 5, 6);
    String key = other.toString();
    TableRow row = new VerdictRow(other, List.of("d", "e", "f"), nowMillis).toTableRow();

    store.onChanges(new TableChanges(9, List.of(), List.of(key)));
    restoreBackup(List.of(table.content().rows().get(0), row));

    assertThat(quarantine.isQuarantined(other)).isFalse();
    assertThat(table.keys()).containsExactly(KEY);
  }

  // Guards against the same where other boxes have told of the lifting before the table did.
  @Test
  void removesRestoredRowWithdrawnByOtherBoxes() {
    RequestFingerprint other = new RequestFingerprint(4, 5, 6);
    isWriter = false;
    quarantine.merge(
        new SuspectUpdate(
            List.of(new VerdictRow(other, List.of("d", "e", "f"), nowMillis).toReport(nowMillis)),
            List.of()));
    TableRow row = new VerdictRow(other, List.of("d", "e", "f"), nowMillis).toTableRow();
    advance(1);
    quarantine.withdrawCrashes(other);
    advance(1);
    isWriter = true;

    restoreBackup(List.of(table.content().rows().get(0), row));

    assertThat(table.keys()).containsExactly(KEY);
  }

  // Guards against a row that comes back and stays, as no box on duty knows that it was lifted.
  @Test
  void removesRestoredRowWithDelayWhenNotWriter() {
    List<TableRow> copy = table.content().rows();
    table.remove(List.of(KEY)).block();
    read();
    isWriter = false;

    restoreBackup(copy);
    assertThat(table.keys()).containsExactly(KEY);
    advance(20_000);

    assertThat(table.keys()).isEmpty();
  }

  @Test
  void leavesRemovalToWritersWhenNotWriter() {
    List<TableRow> copy = table.content().rows();
    table.remove(List.of(KEY)).block();
    read();
    isWriter = false;
    restoreBackup(copy);
    table.remove(List.of(KEY)).block();
    store.onChanges(new TableChanges(9, List.of(), List.of(KEY)));
    int before = table.removalCount;

    advance(20_000);

    assertThat(table.removalCount).isEqualTo(before);
  }

  // Guards against a row that comes back and stays, as the call that removes it again failed.
  @Test
  void retriesFailedRemoval() {
    List<TableRow> copy = table.content().rows();
    table.remove(List.of(KEY)).block();
    read();
    table.unavailable = true;
    restoreBackup(copy);

    table.unavailable = false;
    advance(2_000);

    assertThat(table.keys()).isEmpty();
  }

  @Test
  void keepsVerdictReachedAgainAfterWithdrawal() {
    List<TableRow> copy = table.content().rows();
    table.remove(List.of(KEY)).block();
    read();
    nowMillis += 5_000;
    for (String start : List.of("g", "h", "i")) {
      quarantine.recordCrash(CRASHING, start);
    }
    advance(10);

    restoreBackup(copy);
    advance(10);

    assertThat(quarantine.isQuarantined(CRASHING)).isTrue();
    assertThat(table.keys()).containsExactly(KEY);
  }

  @Test
  void withdrawsVerdictOfRowRemovedAfterRestore() {
    restoreBackup(List.of());
    advance(10);
    read();

    table.remove(List.of(KEY)).block();
    read();

    assertThat(quarantine.isQuarantined(CRASHING)).isFalse();
  }

  @Test
  void retriesRewriteWhenTableIsUnavailable() {
    table.unavailable = true;
    restoreBackup(List.of());
    advance(3_000);
    assertThat(table.keys()).isEmpty();

    table.unavailable = false;
    advance(2_000);

    assertThat(table.keys()).containsExactly(KEY);
  }

  private void restoreBackup(List<TableRow> copy) {
    table.restoreBackup(copy);
    store.onBackupRestored();
    read();
  }

  private void read() {
    store.onContent(table.content());
    advance(1);
  }

  private void advance(long millis) {
    nowMillis += millis;
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runPendingTasks();
  }
}
