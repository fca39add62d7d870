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

/** Decisions of a box that rarely reads the list of upstreams, by the trust that others report. */
class ListTrustTrackerTests {

  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("id", "service", "127.0.0.1", 1, "zone", 1, false);

  private final UpstreamRegistry upstreams = new UpstreamRegistry(EventLogs.silent());
  private final ListTrustTracker tracker = new ListTrustTracker(upstreams);
  private final AtomicInteger confirmations = new AtomicInteger();

  @BeforeEach
  void start() {
    upstreams.replaceAll(1, List.of(UPSTREAM));
    tracker.onConfirmed(confirmations::incrementAndGet);
  }

  @Test
  void removesMissingUpstreamsIfNoBoxDistrustsTheList() {
    tracker.update("a", ListTrust.TRUSTED);
    tracker.update("b", ListTrust.UNKNOWN);

    assertThat(isUsableAfterRemoval()).isFalse();
  }

  @Test
  void keepsMissingUpstreamsIfABoxDistrustsTheList() {
    tracker.update("a", ListTrust.DOUBTED);
    tracker.update("b", ListTrust.UNKNOWN);

    assertThat(isUsableAfterRemoval()).isTrue();
  }

  /** Guards against distrust of a single box that the platform rejects. */
  @Test
  void removesMissingUpstreamsIfAnotherBoxTrustsTheList() {
    tracker.update("b", ListTrust.TRUSTED);
    tracker.update("a", ListTrust.DOUBTED);

    assertThat(isUsableAfterRemoval()).isFalse();
  }

  @Test
  void ownTrustOverridesTheDistrustOfOthers() {
    upstreams.setTrustSupplier(() -> ListTrust.TRUSTED);
    tracker.update("a", ListTrust.DOUBTED);

    assertThat(isUsableAfterRemoval()).isFalse();
  }

  @Test
  void confirmsTheListOnceNoBoxDistrustsIt() {
    tracker.update("a", ListTrust.DOUBTED);
    tracker.update("b", ListTrust.DOUBTED);
    tracker.update("a", ListTrust.UNKNOWN);
    assertThat(confirmations).hasValue(0);

    tracker.update("b", ListTrust.UNKNOWN);

    assertThat(confirmations).hasValue(1);
  }

  @Test
  void confirmsTheListOnceABoxTrustsIt() {
    tracker.update("a", ListTrust.DOUBTED);
    tracker.update("b", ListTrust.UNKNOWN);

    tracker.update("b", ListTrust.TRUSTED);

    assertThat(confirmations).hasValue(1);
  }

  @Test
  void confirmsTheListOnceTheDistrustingBoxIsLost() {
    tracker.update("a", ListTrust.DOUBTED);

    tracker.removeBox("a");

    assertThat(confirmations).hasValue(1);
  }

  /** Guards against removal of upstreams when the list arrives before the distrust is reported. */
  @Test
  void confirmsAnUnconfirmedListAfterThePropagationTime() {
    tracker.onUnconfirmedList();
    assertThat(isUsableAfterRemoval()).isTrue();
    for (int interval = 0; interval < 3; interval++) {
      tracker.onHeartbeatInterval();
      assertThat(confirmations).hasValue(0);
    }

    tracker.onHeartbeatInterval();

    assertThat(confirmations).hasValue(1);
  }

  @Test
  void doesNotConfirmAnUnconfirmedListWhileABoxDistrustsIt() {
    tracker.onUnconfirmedList();
    tracker.update("a", ListTrust.DOUBTED);
    for (int interval = 0; interval < 10; interval++) {
      tracker.onHeartbeatInterval();
    }
    assertThat(confirmations).hasValue(0);

    tracker.update("a", ListTrust.UNKNOWN);

    assertThat(confirmations).hasValue(1);
  }

  /** Only changes are sent at once. */
  @Test
  void updateReturnsWhetherTheReportedTrustChanged() {
    assertThat(tracker.update("a", ListTrust.UNKNOWN)).isFalse();
    assertThat(tracker.update("a", ListTrust.DOUBTED)).isTrue();
    assertThat(tracker.update("a", ListTrust.DOUBTED)).isFalse();
    assertThat(tracker.update("a", ListTrust.TRUSTED)).isTrue();
  }

  private boolean isUsableAfterRemoval() {
    upstreams.replaceAll(2, List.of());
    return upstreams.isUsable(UPSTREAM);
  }
}
