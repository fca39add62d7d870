package org.gradeledge.tunnel;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.gradeledge.connection.DirectDialer;
import org.gradeledge.connection.PathCheck;
import org.gradeledge.discovery.UpstreamRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reactor.core.publisher.Mono;

/** Tests which boxes a box asks, without connections. */
class TunnelClientTests {

  private static final String OWN_ZONE = "own";
  private static final int BOXES_PER_ZONE = 12;
  private static final List<String> ZONES = List.of(OWN_ZONE, "second", "third", "fourth", "fifth");
  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("u", "service", "10.0.0.1", 1, "zone", 8, false);

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private long nowMillis = 1_000_000;
  private Function<String, PathCheck> answer = box -> PathCheck.UNAVAILABLE;
  private final FakeTunnelPeers peers =
      new FakeTunnelPeers(
          boxes(),
          box -> zone(box).equals(OWN_ZONE),
          (box, request) -> Mono.just(TunnelOffer.without(answer.apply(box))));
  private final TunnelClient client =
      new TunnelClient(
          channel.eventLoop(),
          () -> TimeUnit.MILLISECONDS.toNanos(nowMillis),
          new DirectDialer(channel.eventLoop()),
          peers);

  TunnelClientTests() {
    channel.freezeTime();
  }

  @Test
  void asksBoxOfOwnZoneFirst() {
    answer = box -> PathCheck.REACHED;

    assertThat(check()).isEqualTo(PathCheck.REACHED);

    assertThat(peers.asked()).hasSize(1).allMatch(box -> zone(box).equals(OWN_ZONE));
  }

  // Guards against boxes of a partitioned zone that ask only each other.
  @ParameterizedTest
  @EnumSource(
      value = PathCheck.class,
      names = {"REFUSED", "SILENT", "UNAVAILABLE"})
  void reachesUpstreamWhenWholeZoneIsPartitioned(PathCheck answerOfOwnZone) {
    answer = box -> zone(box).equals(OWN_ZONE) ? answerOfOwnZone : PathCheck.REACHED;

    assertThat(check()).isEqualTo(PathCheck.REACHED);
  }

  // Guards against asking the same partitioned boxes again and again.
  @Test
  void asksOtherBoxesNextTimeIfMostAreWithoutPath() {
    answer = box -> box.endsWith("-7") ? PathCheck.REACHED : PathCheck.REFUSED;

    List<PathCheck> results = new ArrayList<>();
    for (int attempt = 0; attempt < BOXES_PER_ZONE * ZONES.size() / 3; attempt++) {
      results.add(check());
    }

    assertThat(results).contains(PathCheck.REACHED);
  }

  private PathCheck check() {
    List<PathCheck> results = new ArrayList<>();
    client.check(UPSTREAM, results::add);
    channel.runPendingTasks();
    return results.get(0);
  }

  private static List<String> boxes() {
    return ZONES.stream()
        .flatMap(zone -> IntStream.range(0, BOXES_PER_ZONE).mapToObj(box -> zone + "-" + box))
        .toList();
  }

  private static String zone(String box) {
    return box.substring(0, box.indexOf('-'));
  }
}
