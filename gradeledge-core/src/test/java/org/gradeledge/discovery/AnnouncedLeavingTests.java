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
    registry.onEnd(upstream -> ended.add(upstream.start()));
    registry.replaceAll(1, List.of(start(10), other()));
  }

  @Test
  void itTakesNoNewWorkAndListenersHearOnce() {
    registry.announcesLeaving(start(10));
    registry.announcesLeaving(start(10));

    assertThat(registry.usable("service")).containsExactly(other());
    assertThat(registry.isUsable(start(10))).isFalse();
    assertThat(registry.hasLeft(start(10))).isTrue();
    assertThat(ended).containsExactly(start(10).start());
    assertThat(registry.leavingAsTheySaid()).containsExactly(start(10).start());
  }

  @Test
  void whoeverHearsOfItFindsItOutOfUse() {
    List<UpstreamRecord> found = new ArrayList<>();
    registry.onEnd(upstream -> found.addAll(registry.usable("service")));

    registry.announcesLeaving(start(10));

    assertThat(found).containsExactly(other());
  }

  @Test
  void aListThatStillSaysReadyChangesNothing() {
    registry.announcesLeaving(start(10));

    registry.update(2, List.of(start(10)), List.of());
    registry.replaceAll(3, List.of(start(10), other()));

    assertThat(registry.usable("service")).containsExactly(other());
  }

  @Test
  void anEntryThatLapsedAndCameBackChangesNothing() {
    registry.announcesLeaving(start(10));
    registry.distrustRemovals();
    registry.update(2, List.of(), List.of("id"));
    registry.trustRemovals();

    registry.update(3, List.of(start(10)), List.of());

    assertThat(registry.usable("service")).containsExactly(other());
  }

  @Test
  void anOlderCopyOfTheListChangesNothing() {
    registry.announcesLeaving(start(10));
    registry.distrustRemovals();
    registry.distrustReturns();
    registry.replaceAll(2, List.of(start(10), other()));
    registry.trustRemovals();

    assertThat(registry.usable("service")).containsExactly(other());
  }

  @Test
  void theNextStartUnderItsIdIsUsed() {
    registry.announcesLeaving(start(10));

    registry.update(2, List.of(start(20)), List.of());

    assertThat(registry.usable("service")).contains(start(20));
  }

  @Test
  void theWordOfAnEarlierStartIsNotThatOfTheNext() {
    registry.update(2, List.of(start(20)), List.of());

    registry.announcesLeaving(start(10));

    assertThat(registry.usable("service")).contains(start(20));
    assertThat(registry.leavingAsTheySaid()).isEmpty();
  }

  @Test
  void itIsStillFoundAtItsAddressUntilItsEntryGoes() {
    registry.announcesLeaving(start(10));

    assertThat(registry.atAddress(start(10).address())).isPresent();
  }

  @Test
  void whatItSaidToAnotherBoxCountsTheSameAndIsNotHandedOnAsHeardHere() {
    assertThat(registry.toldLeaving("box", List.of(start(10).start(), "unknown"))).isTrue();
    assertThat(registry.toldLeaving("box", List.of(start(10).start(), "unknown"))).isFalse();

    assertThat(registry.usable("service")).containsExactly(other());
    assertThat(ended).containsExactly(start(10).start());
    assertThat(registry.leavingAsTheySaid()).isEmpty();
  }

  @Test
  void whatWasToldOfOneThatIsNotListedYetCountsOnceItIs() {
    registry.toldLeaving("box", List.of(start(20).start()));

    registry.update(2, List.of(start(20)), List.of());

    assertThat(registry.usable("service")).containsExactly(other());
  }

  @Test
  void onceTheListSaysItItIsNotToldAnyMore() {
    registry.announcesLeaving(start(10));
    registry.update(2, List.of(start(10).asLeaving()), List.of());

    assertThat(registry.leavingAsTheySaid()).isEmpty();
    assertThat(ended).containsExactly(start(10).start());
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
          told.announcesLeaving(start(born));
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
          told.distrustReturns();
          olderCopy = true;
        }
        case 6 -> {
          born++;
          told.update(revision, List.of(start(born)), List.of());
          listed = true;
          removed = false;
        }
        default -> told.announcesLeaving(start(born - 1));
      }
      if (listed) {
        assertThat(told.isUsable(start(born))).isEqualTo(!left.contains(born));
      }
      assertThat(told.usable("service"))
          .noneMatch(upstream -> upstream.id().equals("id") && left.contains(upstream.born()))
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
