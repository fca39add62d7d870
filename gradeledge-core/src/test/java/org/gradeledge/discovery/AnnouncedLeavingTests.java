package org.gradeledge.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.gradeledge.event.EventLogs;
import org.junit.jupiter.api.Test;

/** An upstream says in an answer that it leaves; what the list says of it comes in any order. */
class AnnouncedLeavingTests {

  private final UpstreamRegistry registry = new UpstreamRegistry(EventLogs.silent());
  private final List<String> ended = new ArrayList<>();

  AnnouncedLeavingTests() {
    registry.onRetired(upstream -> ended.add(upstream.incarnationId()));
    registry.replaceAll(1, List.of(start(10), other()));
  }

  @Test
  void itTakesNoNewWorkAndListenersHearOnce() {
    registry.recordLeavingAnnouncement(start(10));
    registry.recordLeavingAnnouncement(start(10));

    assertThat(registry.usable("service")).containsExactly(other());
    assertThat(registry.isUsable(start(10))).isFalse();
    assertThat(registry.hasLeft(start(10))).isTrue();
    assertThat(ended).containsExactly(start(10).incarnationId());
    assertThat(registry.announcedLeaving()).containsExactly(start(10).incarnationId());
  }

  @Test
  void whoeverHearsOfItFindsItOutOfUse() {
    List<UpstreamRecord> found = new ArrayList<>();
    registry.onRetired(upstream -> found.addAll(registry.usable("service")));

    registry.recordLeavingAnnouncement(start(10));

    assertThat(found).containsExactly(other());
  }

  @Test
  void aListThatStillSaysReadyChangesNothing() {
    registry.recordLeavingAnnouncement(start(10));

    registry.update(2, List.of(start(10)), List.of());
    registry.replaceAll(3, List.of(start(10), other()));

    assertThat(registry.usable("service")).containsExactly(other());
  }

  @Test
  void anEntryThatLapsedAndCameBackChangesNothing() {
    registry.recordLeavingAnnouncement(start(10));
    registry.distrustRemovals();
    registry.update(2, List.of(), List.of("id"));
    registry.trustRemovals();

    registry.update(3, List.of(start(10)), List.of());

    assertThat(registry.usable("service")).containsExactly(other());
  }

  @Test
  void anOlderCopyOfTheListChangesNothing() {
    registry.recordLeavingAnnouncement(start(10));
    registry.distrustRemovals();
    registry.distrustReappearedEntries();
    registry.replaceAll(2, List.of(start(10), other()));
    registry.trustRemovals();

    assertThat(registry.usable("service")).containsExactly(other());
  }

  @Test
  void theNextStartUnderItsIdIsUsed() {
    registry.recordLeavingAnnouncement(start(10));

    registry.update(2, List.of(start(20)), List.of());

    assertThat(registry.usable("service")).contains(start(20));
  }

  @Test
  void theWordOfAnEarlierStartIsNotThatOfTheNext() {
    registry.update(2, List.of(start(20)), List.of());

    registry.recordLeavingAnnouncement(start(10));

    assertThat(registry.usable("service")).contains(start(20));
    assertThat(registry.announcedLeaving()).isEmpty();
  }

  @Test
  void itIsStillFoundAtItsAddressUntilItsEntryGoes() {
    registry.recordLeavingAnnouncement(start(10));

    assertThat(registry.atAddress(start(10).address())).isPresent();
  }

  @Test
  void whatItSaidToAnotherBoxCountsTheSameAndIsNotHandedOnAsHeardHere() {
    assertThat(
            registry.applyPeerLeavingAnnouncements(
                "box", List.of(start(10).incarnationId(), "unknown")))
        .isTrue();
    assertThat(
            registry.applyPeerLeavingAnnouncements(
                "box", List.of(start(10).incarnationId(), "unknown")))
        .isFalse();

    assertThat(registry.usable("service")).containsExactly(other());
    assertThat(ended).containsExactly(start(10).incarnationId());
    assertThat(registry.announcedLeaving()).isEmpty();
  }

  @Test
  void whatWasToldOfOneThatIsNotListedYetCountsOnceItIs() {
    registry.applyPeerLeavingAnnouncements("box", List.of(start(20).incarnationId()));

    registry.update(2, List.of(start(20)), List.of());

    assertThat(registry.usable("service")).containsExactly(other());
  }

  @Test
  void onceTheListSaysItItIsNotToldAnyMore() {
    registry.recordLeavingAnnouncement(start(10));
    registry.update(2, List.of(start(10).asLeaving()), List.of());

    assertThat(registry.announcedLeaving()).isEmpty();
    assertThat(ended).containsExactly(start(10).incarnationId());
  }

  /**
   * Steps in any order: readings of the list, entries that go and come, outages, older copies, new
   * starts, answers. What has said that it leaves is never used again, and what has not, nor was
   * said to leave or gone, always is; what had gone and stands in an older copy is not used yet.
   */
  @Property(tries = 1_000)
  void nothingThatSaidSoIsUsedAgainAndNothingElseIsLost(
      @ForAll @Size(max = 40) List<@IntRange(max = 7) Integer> steps) {
    UpstreamRegistry told = new UpstreamRegistry(EventLogs.silent());
    Set<Long> left = new HashSet<>();
    long revision = 1;
    long born = 1;
    boolean listed = true;
    boolean removed = false;
    boolean olderCopy = false;
    told.replaceAll(revision, List.of(start(born), other()));
    for (int step : steps) {
      revision++;
      switch (step) {
        case 0 -> {
          told.recordLeavingAnnouncement(start(born));
          left.add(born);
        }
        case 1 -> {
          told.update(revision, List.of(start(born)), List.of());
          listed = true;
          removed = false;
        }
        case 2 -> {
          told.replaceAll(revision, List.of(start(born), other()));
          listed |= !olderCopy;
          removed &= !listed;
        }
        case 3 -> {
          told.distrustRemovals();
          told.update(revision, List.of(), List.of("id"));
          removed = true;
        }
        case 4 -> {
          told.trustRemovals();
          listed &= !removed;
          olderCopy = false;
        }
        case 5 -> {
          told.distrustReappearedEntries();
          olderCopy = true;
        }
        case 6 -> {
          born++;
          told.update(revision, List.of(start(born)), List.of());
          listed = true;
          removed = false;
        }
        default -> told.recordLeavingAnnouncement(start(born - 1));
      }
      if (listed) {
        assertThat(told.isUsable(start(born))).isEqualTo(!left.contains(born));
      }
      assertThat(told.usable("service"))
          .noneMatch(
              upstream -> upstream.id().equals("id") && left.contains(upstream.startedAtMillis()))
          .contains(other());
    }
  }

  private static UpstreamRecord start(long born) {
    return new UpstreamRecord("id", born, "service", "10.0.0.1", 1, "zone", 1, false, 0);
  }

  private static UpstreamRecord other() {
    return new UpstreamRecord("other", 1, "service", "10.0.0.2", 1, "zone", 1, false, 0);
  }
}
