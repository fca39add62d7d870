package org.gradeledge.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.gradeledge.event.EventLogs;
import org.junit.jupiter.api.Test;

/**
 * Guards against new requests to upstreams that have announced in a response that they leave,
 * whatever the order of the updates of the list.
 */
class AnnouncedLeavingTests {

  private final UpstreamRegistry registry = new UpstreamRegistry(EventLogs.silent());
  private final List<String> retired = new ArrayList<>();

  AnnouncedLeavingTests() {
    registry.onRetired(upstream -> retired.add(upstream.incarnationId()));
    registry.replaceAll(1, List.of(incarnation(10), otherUpstream()));
  }

  @Test
  void leavingUpstreamAcceptsNoRequestsAndListenersAreNotifiedOnce() {
    registry.recordLeavingAnnouncement(incarnation(10));
    registry.recordLeavingAnnouncement(incarnation(10));

    assertThat(registry.usable("service")).containsExactly(otherUpstream());
    assertThat(registry.isUsable(incarnation(10))).isFalse();
    assertThat(registry.hasLeft(incarnation(10))).isTrue();
    assertThat(retired).containsExactly(incarnation(10).incarnationId());
    assertThat(registry.announcedLeaving()).containsExactly(incarnation(10).incarnationId());
  }

  @Test
  void listenersSeeTheUpstreamAlreadyOutOfUse() {
    List<UpstreamRecord> usable = new ArrayList<>();
    registry.onRetired(upstream -> usable.addAll(registry.usable("service")));

    registry.recordLeavingAnnouncement(incarnation(10));

    assertThat(usable).containsExactly(otherUpstream());
  }

  @Test
  void outdatedListEntryDoesNotRevertLeaving() {
    registry.recordLeavingAnnouncement(incarnation(10));

    registry.update(2, List.of(incarnation(10)), List.of());
    registry.replaceAll(3, List.of(incarnation(10), otherUpstream()));

    assertThat(registry.usable("service")).containsExactly(otherUpstream());
  }

  @Test
  void lapsedAndRenewedEntryDoesNotRevertLeaving() {
    registry.recordLeavingAnnouncement(incarnation(10));
    registry.distrustRemovals();
    registry.update(2, List.of(), List.of("id"));
    registry.trustRemovals();

    registry.update(3, List.of(incarnation(10)), List.of());

    assertThat(registry.usable("service")).containsExactly(otherUpstream());
  }

  @Test
  void restoredBackupOfTheListDoesNotRevertLeaving() {
    registry.recordLeavingAnnouncement(incarnation(10));
    registry.distrustRemovals();
    registry.distrustReappearedEntries();
    registry.replaceAll(2, List.of(incarnation(10), otherUpstream()));
    registry.trustRemovals();

    assertThat(registry.usable("service")).containsExactly(otherUpstream());
  }

  @Test
  void nextIncarnationWithTheSameIdIsUsed() {
    registry.recordLeavingAnnouncement(incarnation(10));

    registry.update(2, List.of(incarnation(20)), List.of());

    assertThat(registry.usable("service")).contains(incarnation(20));
  }

  @Test
  void announcementOfAnEarlierIncarnationDoesNotAffectTheNext() {
    registry.update(2, List.of(incarnation(20)), List.of());

    registry.recordLeavingAnnouncement(incarnation(10));

    assertThat(registry.usable("service")).contains(incarnation(20));
    assertThat(registry.announcedLeaving()).isEmpty();
  }

  @Test
  void leavingUpstreamIsFoundByAddressWhileListed() {
    registry.recordLeavingAnnouncement(incarnation(10));

    assertThat(registry.atAddress(incarnation(10).address())).isPresent();
  }

  @Test
  void announcementReportedByAPeerAppliesAndIsNotForwarded() {
    assertThat(
            registry.applyPeerLeavingAnnouncements(
                "box", List.of(incarnation(10).incarnationId(), "unknown")))
        .isTrue();
    assertThat(
            registry.applyPeerLeavingAnnouncements(
                "box", List.of(incarnation(10).incarnationId(), "unknown")))
        .isFalse();

    assertThat(registry.usable("service")).containsExactly(otherUpstream());
    assertThat(retired).containsExactly(incarnation(10).incarnationId());
    assertThat(registry.announcedLeaving()).isEmpty();
  }

  @Test
  void announcementOfAnUnlistedIncarnationAppliesOnceItIsListed() {
    registry.applyPeerLeavingAnnouncements("box", List.of(incarnation(20).incarnationId()));

    registry.update(2, List.of(incarnation(20)), List.of());

    assertThat(registry.usable("service")).containsExactly(otherUpstream());
  }

  @Test
  void announcementIsNotReportedOnceTheListShowsIt() {
    registry.recordLeavingAnnouncement(incarnation(10));
    registry.update(2, List.of(incarnation(10).asLeaving()), List.of());

    assertThat(registry.announcedLeaving()).isEmpty();
    assertThat(retired).containsExactly(incarnation(10).incarnationId());
  }

  /**
   * Applies full reads, updates, outages, restored backups, restarts and announcements in random
   * order. An incarnation that has announced its leaving is never used again; one that is listed
   * and has not announced it is always used.
   */
  @Property(tries = 1_000)
  void onlyIncarnationsThatAnnouncedLeavingStayUnused(
      @ForAll @Size(max = 40) List<@IntRange(max = 7) Integer> steps) {
    UpstreamRegistry tested = new UpstreamRegistry(EventLogs.silent());
    Set<Long> announced = new HashSet<>();
    long revision = 1;
    long startedAtMillis = 1;
    boolean listed = true;
    boolean removed = false;
    boolean backupRestored = false;
    tested.replaceAll(revision, List.of(incarnation(startedAtMillis), otherUpstream()));
    for (int step : steps) {
      revision++;
      switch (step) {
        case 0 -> {
          tested.recordLeavingAnnouncement(incarnation(startedAtMillis));
          announced.add(startedAtMillis);
        }
        case 1 -> {
          tested.update(revision, List.of(incarnation(startedAtMillis)), List.of());
          listed = true;
          removed = false;
        }
        case 2 -> {
          tested.replaceAll(revision, List.of(incarnation(startedAtMillis), otherUpstream()));
          listed |= !backupRestored;
          removed &= !listed;
        }
        case 3 -> {
          tested.distrustRemovals();
          tested.update(revision, List.of(), List.of("id"));
          removed = true;
        }
        case 4 -> {
          tested.trustRemovals();
          listed &= !removed;
          backupRestored = false;
        }
        case 5 -> {
          tested.distrustReappearedEntries();
          backupRestored = true;
        }
        case 6 -> {
          startedAtMillis++;
          tested.update(revision, List.of(incarnation(startedAtMillis)), List.of());
          listed = true;
          removed = false;
        }
        default -> tested.recordLeavingAnnouncement(incarnation(startedAtMillis - 1));
      }
      if (listed) {
        assertThat(tested.isUsable(incarnation(startedAtMillis)))
            .isEqualTo(!announced.contains(startedAtMillis));
      }
      assertThat(tested.usable("service"))
          .noneMatch(upstream -> upstream.id().equals("id") && announced.contains(upstream.born()))
          .contains(otherUpstream());
    }
  }

  private static UpstreamRecord incarnation(long startedAtMillis) {
    return new UpstreamRecord(
        "id", startedAtMillis, "service", "10.0.0.1", 1, "zone", 1, false, 0, Optional.empty());
  }

  private static UpstreamRecord otherUpstream() {
    return new UpstreamRecord(
        "other", 1, "service", "10.0.0.2", 1, "zone", 1, false, 0, Optional.empty());
  }
}
