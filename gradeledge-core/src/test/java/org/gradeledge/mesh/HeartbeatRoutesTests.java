package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gradeledge.event.EventLogs;
import org.junit.jupiter.api.Test;

class HeartbeatRoutesTests {

  private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

  private final Map<String, PeerBoard> boards = new HashMap<>();
  private final Map<String, HeartbeatRoutes> routes = new HashMap<>();
  private final Set<String> connected = new HashSet<>();
  private final Set<String> unreachable = new HashSet<>();

  @Test
  void fewBoxesTellAll() {
    start(HeartbeatRoutes.MOST_THAT_TELL_ALL);

    assertThat(routes.values()).noneMatch(HeartbeatRoutes::many);
  }

  @Test
  void boxesOfAZoneThatHearTheSameChooseTheSameTwoRelays() {
    start(30);

    assertThat(routes.values()).allMatch(HeartbeatRoutes::many);
    Set<String> relays = new HashSet<>();
    boxes("zone-a").forEach(box -> relays.addAll(routes.get(box).ownRelays()));
    assertThat(relays).hasSize(2).allMatch(box -> routes.get(box).isRelay());
    assertThat(boxes("zone-a").stream().filter(box -> routes.get(box).isRelay()))
        .containsExactlyInAnyOrderElementsOf(relays);
  }

  @Test
  void relaysOfOtherZonesAreTwoOfEach() {
    start(30);

    List<String> foreign = routes.get("box-0").foreignRelays();

    assertThat(foreign).hasSize(4).noneMatch(box -> boxes("zone-a").contains(box));
    assertThat(foreign).allMatch(box -> routes.get(box).isRelay());
  }

  @Test
  void aRelayWhoseConnectionEndedIsReplacedAtOnce() {
    start(30);
    String lost = routes.get("box-0").ownRelays().get(0);

    connected.remove(lost);

    assertThat(routes.get("box-0").ownRelays()).doesNotContain(lost).isNotEmpty();
  }

  @Test
  void connectionsAreKeptUpWithTheRelaysAndASpareOfEachZone() {
    start(90);
    HeartbeatRoutes relay =
        routes.values().stream().filter(HeartbeatRoutes::isRelay).findFirst().orElseThrow();

    assertThat(routes.get("box-0").ownCandidates())
        .hasSizeBetween(2, 3)
        .containsAll(routes.get("box-0").ownRelays());
    assertThat(relay.foreignCandidates()).hasSize(6).containsAll(relay.foreignRelays());
  }

  @Test
  void aBoxThatCannotBeReachedIsNoCandidate() {
    start(30);
    String away = routes.get("box-0").ownCandidates().get(0);

    unreachable.add(away);

    assertThat(routes.get("box-0").ownCandidates()).doesNotContain(away).hasSizeBetween(2, 3);
  }

  @Test
  void aDutyIsHeldByAsManyBoxesAsAreAsked() {
    start(30);

    assertThat(routes.values().stream().filter(each -> each.isAmongFirst("duty", 6))).hasSize(6);
  }

  private void start(int count) {
    List<String> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      all.add("box-" + i);
    }
    connected.addAll(all);
    for (String box : all) {
      PeerBoard board = new PeerBoard(box, zoneOf(box), 1, () -> 0, EventLogs.silent());
      all.stream()
          .filter(other -> !other.equals(box))
          .forEach(other -> board.heard(other, zoneOf(other), false, 1, 0));
      boards.put(box, board);
      routes.put(
          box,
          new HeartbeatRoutes(box, zoneOf(box), board, () -> connected, unreachable::contains));
    }
  }

  private List<String> boxes(String zone) {
    return boards.keySet().stream().filter(box -> zoneOf(box).equals(zone)).toList();
  }

  private static String zoneOf(String box) {
    return ZONES.get(Integer.parseInt(box.substring(4)) % ZONES.size());
  }
}
