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

  private final Map<String, PeerTable> boards = new HashMap<>();
  private final Map<String, HeartbeatRoutes> routes = new HashMap<>();
  private final Set<String> connected = new HashSet<>();
  private final Set<String> unreachable = new HashSet<>();

  @Test
  void fewBoxesTellAll() {
    start(HeartbeatRoutes.MAX_FULL_MESH_BOXES);

    assertThat(routes.values()).noneMatch(HeartbeatRoutes::usesRelays);
  }

  @Test
  void boxesOfAZoneThatHearTheSameChooseTheSameTwoRelays() {
    start(30);

    assertThat(routes.values()).allMatch(HeartbeatRoutes::usesRelays);
    Set<String> relays = new HashSet<>();
    boxes("zone-a").forEach(box -> relays.addAll(routes.get(box).localRelays()));
    assertThat(relays).hasSize(2).allMatch(box -> routes.get(box).isRelay());
    assertThat(boxes("zone-a").stream().filter(box -> routes.get(box).isRelay()))
        .containsExactlyInAnyOrderElementsOf(relays);
  }

  @Test
  void relaysOfOtherZonesAreTwoOfEach() {
    start(30);

    List<String> foreign = routes.get("box-0").remoteRelays();

    assertThat(foreign).hasSize(4).noneMatch(box -> boxes("zone-a").contains(box));
    assertThat(foreign).allMatch(box -> routes.get(box).isRelay());
  }

  @Test
  void aRelayWhoseConnectionEndedIsReplacedAtOnce() {
    start(30);
    String lost = routes.get("box-0").localRelays().get(0);

    connected.remove(lost);

    assertThat(routes.get("box-0").localRelays()).doesNotContain(lost).isNotEmpty();
  }

  @Test
  void connectionsAreKeptUpWithTheRelaysAndASpareOfEachZone() {
    start(90);
    HeartbeatRoutes relay =
        routes.values().stream().filter(HeartbeatRoutes::isRelay).findFirst().orElseThrow();

    assertThat(routes.get("box-0").localCandidates())
        .hasSizeBetween(2, 3)
        .containsAll(routes.get("box-0").localRelays());
    assertThat(relay.remoteCandidates()).hasSize(6).containsAll(relay.remoteRelays());
  }

  @Test
  void aBoxThatCannotBeReachedIsNoCandidate() {
    start(30);
    String away = routes.get("box-0").localCandidates().get(0);

    unreachable.add(away);

    assertThat(routes.get("box-0").localCandidates()).doesNotContain(away).hasSizeBetween(2, 3);
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
      PeerTable board = new PeerTable(box, zoneOf(box), 1, () -> 0, EventLogs.silent());
      all.stream()
          .filter(other -> !other.equals(box))
          .forEach(other -> board.update(other, zoneOf(other), false, 1, 0));
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
