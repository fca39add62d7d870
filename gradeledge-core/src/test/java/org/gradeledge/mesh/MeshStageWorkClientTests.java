package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.IntStream;
import org.gradeledge.batch.BatchCoordinator;
import org.gradeledge.batch.IdleCoordinators;
import org.gradeledge.batch.PiecesToCome;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.event.EventLogs;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.peer.PeerAddress;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.peer.PeerSecret;
import org.gradeledge.peer.PeerTransport;
import org.gradeledge.selection.RendezvousHash;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;

/** Two peers over real connections take work and never do it. */
@Timeout(60)
class MeshStageWorkClientTests {

  private static final Duration LIMIT = Duration.ofSeconds(20);
  private static final long MILLI = 1_000_000;
  private static final String SERVICE = serviceThatRanks("first", "second", "self");

  /** Work that a peer was handed. */
  private record Handed(String box, StageGroup group) {}

  private final LoopResources loops = LoopResources.create("mesh", 1, 1, true, false);
  private final EventLoop loop = loops.onClient(false).next();
  private final BlockingQueue<Handed> handed = new LinkedBlockingQueue<>();
  private final List<PeerNetwork> networks = new ArrayList<>();
  private volatile long nowNanos;
  private final PeerBoard peers = new PeerBoard("self", "zone", () -> nowNanos, EventLogs.silent());
  private PeerNetwork first;
  private DisposableServer firstServer;
  private MeshStageWorkClient client;

  @BeforeEach
  void start() throws Exception {
    PeerNetwork own = network("self");
    first = network("first");
    PeerNetwork second = network("second");
    firstServer = listen(first);
    own.setPeers(List.of(address("first", firstServer), address("second", listen(second))));
    client =
        new MeshStageWorkClient(
            "self",
            own,
            peers,
            nobody(),
            loop,
            new PiecesToCome(),
            () -> nowNanos,
            EventLogs.silent());
    while (own.connectedIds().size() < 2) {
      Thread.onSpinWait();
    }
    hearBoth();
    nowNanos += 2_000 * MILLI;
    hearBoth();
  }

  @AfterEach
  void stop() {
    networks.forEach(PeerNetwork::close);
    loops.disposeLater(Duration.ZERO, LIMIT).block(LIMIT);
  }

  @Test
  void workOfABoxThatEndedGoesToTheOneThatRanksNextWithTheTimeThatIsLeft() throws Exception {
    submit("a");
    assertThat(handed.take().box()).isEqualTo("first");

    nowNanos += 300 * MILLI;
    endFirst();

    Handed again = handed.take();
    assertThat(again.box()).isEqualTo("second");
    assertThat(again.group().dueMillis()).isEqualTo(700);
    assertThat(again.group().remainingMillis()).isEqualTo(1_700);
  }

  @Test
  void newWorkDoesNotGoToABoxThatIsStillHeardButNotConnected() throws Exception {
    submit("a");
    assertThat(handed.take().box()).isEqualTo("first");
    endFirst();
    assertThat(handed.take().box()).isEqualTo("second");

    submit("b");

    Handed next = handed.take();
    assertThat(next.box()).isEqualTo("second");
    assertThat(next.group().requestId()).isEqualTo("b");
  }

  private void submit(String request) throws InterruptedException {
    StageGroup group =
        new StageGroup(
            SERVICE,
            request,
            0,
            1,
            Optional.empty(),
            List.of(),
            0,
            1,
            "",
            1,
            1_000,
            2_000,
            2_000,
            false);
    loop.submit(() -> client.submit(group, result -> {})).sync();
  }

  private void hearBoth() throws InterruptedException {
    loop.submit(
            () -> {
              peers.heard("first", "zone", false, 0);
              peers.heard("second", "zone", false, 0);
            })
        .sync();
  }

  private PeerNetwork network(String name) {
    PeerNetwork network =
        new PeerNetwork(
            name,
            new PeerSecret("a secret of sixteen bytes"),
            new PeerTransport(Optional.empty(), Optional.empty(), Optional.of(loops)),
            new BoxMetrics());
    network.setIncarnation(1);
    network.register(
        MeshMessages.STAGE_WORK,
        (from, group) -> {
          handed.add(new Handed(name, group));
          return Mono.never();
        });
    networks.add(network);
    return network;
  }

  private static DisposableServer listen(PeerNetwork network) {
    return network.listen(new InetSocketAddress("127.0.0.1", 0)).block(LIMIT);
  }

  private static PeerAddress address(String name, DisposableServer server) {
    return new PeerAddress(name, 1, "127.0.0.1", server.port());
  }

  /** Ends it for good: it is dialed again, and nobody listens. */
  private void endFirst() {
    firstServer.disposeNow(LIMIT);
    first.close();
  }

  /** This box does no work in these tests. */
  private BatchCoordinator nobody() {
    return IdleCoordinators.create("self", loop);
  }

  private static String serviceThatRanks(String... boxes) {
    return IntStream.range(0, 10_000)
        .mapToObj(number -> "service-" + number)
        .filter(service -> ranked(service, boxes).equals(List.of(boxes)))
        .findFirst()
        .orElseThrow();
  }

  private static List<String> ranked(String service, String... boxes) {
    return List.of(boxes).stream()
        .sorted(
            Comparator.comparingLong((String box) -> RendezvousHash.weight(service, box))
                .reversed())
        .toList();
  }
}
