package org.gradeledge.tunnel;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
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
  private final FakePeers peers = new FakePeers();
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
    peers.answer = box -> PathCheck.REACHED;

    assertThat(check()).isEqualTo(PathCheck.REACHED);

    assertThat(peers.asked).hasSize(1).allMatch(box -> zone(box).equals(OWN_ZONE));
  }

  // Guards against boxes of a partitioned zone that ask only each other.
  @ParameterizedTest
  @EnumSource(
      value = PathCheck.class,
      names = {"REFUSED", "SILENT", "UNAVAILABLE"})
  void reachesUpstreamWhenWholeZoneIsPartitioned(PathCheck answerOfOwnZone) {
    peers.answer = box -> zone(box).equals(OWN_ZONE) ? answerOfOwnZone : PathCheck.REACHED;

    assertThat(check()).isEqualTo(PathCheck.REACHED);
  }

  // Guards against asking the same partitioned boxes again and again.
  @Test
  void asksOtherBoxesNextTimeIfMostAreWithoutPath() {
    peers.answer = box -> box.endsWith("-7") ? PathCheck.REACHED : PathCheck.REFUSED;

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

  private static String zone(String box) {
    return box.substring(0, box.indexOf('-'));
  }

  /** Boxes of five zones that answer at once. */
  private static final class FakePeers implements TunnelPeers {

    private final List<String> asked = new ArrayList<>();
    private Function<String, PathCheck> answer = box -> PathCheck.UNAVAILABLE;

    @Override
    public List<String> available() {
      return ZONES.stream()
          .flatMap(zone -> IntStream.range(0, BOXES_PER_ZONE).mapToObj(box -> zone + "-" + box))
          .toList();
    }

    @Override
    public boolean isInOwnZone(String box) {
      return zone(box).equals(OWN_ZONE);
    }

    @Override
    public boolean isAvailable(String box) {
      return true;
    }

    @Override
    public Mono<TunnelOffer> request(String box, TunnelRequest request, Duration timeout) {
      asked.add(box);
      return Mono.just(TunnelOffer.without(answer.apply(box)));
    }

    @Override
    public void onLost(Consumer<String> listener) {}
  }
}
