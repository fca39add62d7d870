package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.gradeledge.discovery.ListTrust;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A box that seldom reads the list, and what others say of it. */
class ListTrustTrackerTests {

  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("id", "service", "127.0.0.1", 1, "zone", 1, false);

  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final ListTrustTracker doubts = new ListTrustTracker(upstreams);
  private final AtomicInteger judged = new AtomicInteger();

  @BeforeEach
  void start() {
    upstreams.replaceAll(1, List.of(UPSTREAM));
    doubts.onConfirmed(judged::incrementAndGet);
  }

  @Test
  void whatIsMissingIsGoneWhereNobodyDoubts() {
    doubts.update("a", ListTrust.TRUSTED);
    doubts.update("b", ListTrust.UNKNOWN);

    assertThat(usableOnceMissing()).isFalse();
  }

  @Test
  void whatIsMissingStaysInUseWhereThoseThatReadSteadilyDoubt() {
    doubts.update("a", ListTrust.DOUBTED);
    doubts.update("b", ListTrust.UNKNOWN);

    assertThat(usableOnceMissing()).isTrue();
  }

  /** One that the platform turns away, beside one that it serves. */
  @Test
  void aDoubtCountsForNothingBesideOneThatReadsSteadily() {
    doubts.update("b", ListTrust.TRUSTED);
    doubts.update("a", ListTrust.DOUBTED);

    assertThat(usableOnceMissing()).isFalse();
  }

  @Test
  void aBoxThatReadsSteadilyItselfGoesByWhatItReads() {
    upstreams.setTrustSupplier(() -> ListTrust.TRUSTED);
    doubts.update("a", ListTrust.DOUBTED);

    assertThat(usableOnceMissing()).isFalse();
  }

  @Test
  void itIsJudgedOnceNobodyDoubtsAnyMore() {
    doubts.update("a", ListTrust.DOUBTED);
    doubts.update("b", ListTrust.DOUBTED);
    doubts.update("a", ListTrust.UNKNOWN);
    assertThat(judged).hasValue(0);

    doubts.update("b", ListTrust.UNKNOWN);

    assertThat(judged).hasValue(1);
  }

  @Test
  void itIsJudgedOnceOneTrustsTheListAgain() {
    doubts.update("a", ListTrust.DOUBTED);
    doubts.update("b", ListTrust.UNKNOWN);

    doubts.update("b", ListTrust.TRUSTED);

    assertThat(judged).hasValue(1);
  }

  @Test
  void itIsJudgedWhereTheOneThatDoubtsIsLost() {
    doubts.update("a", ListTrust.DOUBTED);

    doubts.removeBox("a");

    assertThat(judged).hasValue(1);
  }

  /** The list comes sooner than the heartbeat of the box that has noticed the outage. */
  @Test
  void aListThatIsDoubtedIsJudgedOnceAllHadTheTimeToSaySo() {
    doubts.onUnconfirmedList();
    assertThat(usableOnceMissing()).isTrue();
    for (int beat = 0; beat < 3; beat++) {
      doubts.onHeartbeatInterval();
      assertThat(judged).hasValue(0);
    }

    doubts.onHeartbeatInterval();

    assertThat(judged).hasValue(1);
  }

  @Test
  void aListThatIsDoubtedIsNotJudgedWhileABoxDoubtsIt() {
    doubts.onUnconfirmedList();
    doubts.update("a", ListTrust.DOUBTED);
    for (int beat = 0; beat < 10; beat++) {
      doubts.onHeartbeatInterval();
    }
    assertThat(judged).hasValue(0);

    doubts.update("a", ListTrust.UNKNOWN);

    assertThat(judged).hasValue(1);
  }

  /** A change is passed on at once; what is the same as before waits for its turn. */
  @Test
  void tellsWhetherABoxSaysSomethingElseThanBefore() {
    assertThat(doubts.update("a", ListTrust.UNKNOWN)).isFalse();
    assertThat(doubts.update("a", ListTrust.DOUBTED)).isTrue();
    assertThat(doubts.update("a", ListTrust.DOUBTED)).isFalse();
    assertThat(doubts.update("a", ListTrust.TRUSTED)).isTrue();
  }

  private boolean usableOnceMissing() {
    upstreams.replaceAll(2, List.of());
    return upstreams.isUsable(UPSTREAM);
  }
}
