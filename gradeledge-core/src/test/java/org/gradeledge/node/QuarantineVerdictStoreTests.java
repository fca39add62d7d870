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

/** Persistence of verdicts across restarts of boxes, in virtual time. */
class QuarantineVerdictStoreTests {

  private static final RequestFingerprint CRASHING = new RequestFingerprint(1, 2, 3);
  private static final String KEY = CRASHING.toString();

  private final FakeWritableTable table = new FakeWritableTable();
  private final List<Box> boxes = new ArrayList<>();
  private long nowMillis = TimeUnit.DAYS.toMillis(20_000);

  /** Box without state from previous process lifetimes. */
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
      for (String incarnationId : List.of("a", "b", "c")) {
        quarantine.recordCrash(CRASHING, incarnationId);
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

    Box restarted = new Box();
    restarted.read();

    assertThat(restarted.quarantine.isQuarantined(CRASHING)).isTrue();
    assertThat(restarted.store.timeUntilNext(CRASHING))
        .contains(Duration.ofMinutes(10).minusMillis(1));
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
    Box lostBox = new Box();
    Box informedBox = new Box();
    Box writer = new Box();
    writer.isWriter = true;
    table.unavailable = true;
    lostBox.reachVerdict();
    informedBox.quarantine.merge(lostBox.quarantine.snapshot());
    writer.quarantine.merge(lostBox.quarantine.snapshot());
    boxes.remove(lostBox);
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
   * Guards against removing the row of a verdict that this box considers explained by other
   * requests: the removal would withdraw the crashes at all boxes.
   */
  @Test
  void keepsRowOfVerdictExplainedByOtherRequests() {
    RequestFingerprint harmless = new RequestFingerprint(9, 9, 9);
    Box box = new Box();
    for (String incarnationId : List.of("a", "b", "c")) {
      box.quarantine.recordCrash(harmless, incarnationId);
    }
    advance(1);
    for (String incarnationId : List.of("a", "b", "c", "d")) {
      box.quarantine.recordCrash(CRASHING, incarnationId);
    }
    advance(1);
    assertThat(box.quarantine.quarantined()).containsExactly(CRASHING);
    assertThat(table.keys()).contains(KEY, harmless.toString());

    Box restarted = new Box();
    restarted.read();
    restarted.quarantine.recordCrash(CRASHING, "d");

    assertThat(restarted.quarantine.quarantined()).containsExactly(CRASHING);
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

  /** The deployment allows three retries in all; two of them are trials. */
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

  /** Covers a box that has not yet read the claim of another box. */
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

  private long countGrantedTrials(Box... claimants) {
    return List.of(claimants).stream()
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
      for (int run = 0; run < 5; run++) {
        box.channel.runPendingTasks();
      }
    }
  }
}
