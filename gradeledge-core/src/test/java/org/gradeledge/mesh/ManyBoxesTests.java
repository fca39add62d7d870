package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicInteger;
import org.gradeledge.batch.PiecesToCome;
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.discovery.ZoneEvacuations;
import org.gradeledge.event.EventLogs;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.peer.PeerSecret;
import org.gradeledge.peer.PeerTransport;
import org.gradeledge.selection.LoadBoard;
import org.gradeledge.time.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;

/** So many boxes that heartbeats are relayed, over real connections in one process. */
@Timeout(120)
class ManyBoxesTests {

  private static final int BOXES = 18;

  /** Ends of connections where heartbeats are relayed; all with all would be about twice that. */
  private static final int MOST_ENDS = BOXES * BOXES / 2;

  private static final Duration LIMIT = Duration.ofSeconds(20);

  /** Tries to listen on a port that was free; several in a row being taken is another fault. */
  private static final int MOST_BINDS = 5;

  private static final long REVISION = 7;
  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("id", "service", "127.0.0.1", 1, "zone-0", 1, false);

  private final LoopResources loops = LoopResources.create("mesh", 1, 1, true, false);
  private final EventLoop loop = loops.onClient(false).next();
  private final List<BoxMesh> meshes = new ArrayList<>();
  private final List<PeerNetwork> networks = new ArrayList<>();
  private final List<UpstreamRegistry> registries = new ArrayList<>();
  private final List<DisposableServer> servers = new ArrayList<>();
  private final List<String> addresses = new ArrayList<>();

  @AfterEach
  void stop() {
    networks.forEach(PeerNetwork::close);
    loops.disposeLater(Duration.ZERO, LIMIT).block(LIMIT);
  }

  @Test
  void boxesThatKnowOneSeedAloneHearAllOthersAndGoOnHearingThem() throws Exception {
    for (int box = 0; box < BOXES; box++) {
      startBox();
    }
    await(() -> meshes.stream().allMatch(mesh -> mesh.boxes() == BOXES));
    await(() -> meshes.stream().allMatch(BoxMesh::hearsDigests));
    await(() -> meshes.stream().allMatch(mesh -> mesh.boxes() == BOXES));

    assertThat(onLoop(() -> meshes.stream().filter(mesh -> mesh.hasDuty("duty", 6)).count()))
        .isEqualTo(6);
  }

  @Test
  void aBoxThatComesLaterHearsAllOthers() throws Exception {
    for (int box = 0; box < BOXES; box++) {
      startBox();
    }
    await(() -> meshes.stream().allMatch(BoxMesh::hearsDigests));

    startBox();

    await(() -> meshes.stream().allMatch(mesh -> mesh.boxes() == BOXES + 1));
  }

  @Test
  void connectionsAreThoseThatHeartbeatsNeed() throws Exception {
    for (int box = 0; box < BOXES; box++) {
      startBox();
    }
    await(() -> meshes.stream().allMatch(mesh -> mesh.boxes() == BOXES));

    await(() -> networks.stream().mapToInt(each -> each.connectedIds().size()).sum() < MOST_ENDS);

    assertThat(onLoop(() -> meshes.stream().allMatch(mesh -> mesh.boxes() == BOXES))).isTrue();
  }

  @Test
  void aBoxWhoseSeedsAreAllGoneIsMetByThoseThatKnewIt() throws Exception {
    for (int box = 0; box < BOXES; box++) {
      startBox();
    }
    await(() -> meshes.stream().allMatch(BoxMesh::hearsDigests));
    String gone = addresses.get(BOXES - 1);
    stopBox(BOXES - 1);
    await(() -> meshes.stream().allMatch(mesh -> mesh.boxes() == BOXES - 1));

    startBox(gone, List.of());

    await(() -> meshes.stream().allMatch(mesh -> mesh.boxes() == BOXES));
  }

  /**
   * A box that does not hear a stronger one of its zone yet takes itself for a relay and reads too,
   * so that the count means something only once all hear all.
   */
  @Test
  void newsOfUpstreamsReachesAllThoughOnlyRelaysReadIt() throws Exception {
    for (int box = 0; box < BOXES; box++) {
      startBox();
    }
    await(() -> meshes.stream().allMatch(BoxMesh::hearsDigests));
    await(() -> meshes.stream().allMatch(mesh -> mesh.boxes() == BOXES));
    AtomicInteger reads = new AtomicInteger();
    onLoop(() -> readNewsOnAsking(reads));

    onLoop(() -> learn(0));
    await(() -> registries.stream().allMatch(each -> each.revision() == REVISION));

    assertThat(reads.get()).isLessThan(BOXES / 2);
  }

  @Test
  void anEvacuationThatOneBoxReadsReachesAll() throws Exception {
    for (int box = 0; box < BOXES; box++) {
      startBox();
    }
    await(() -> meshes.stream().allMatch(BoxMesh::hearsDigests));
    ZoneEvacuations ordered = new ZoneEvacuations(REVISION, Set.of("zone-0"));

    onLoop(() -> registries.get(BOXES - 1).evacuate(ordered));

    await(() -> registries.stream().allMatch(each -> each.evacuations().equals(ordered)));
  }

  private boolean readNewsOnAsking(AtomicInteger reads) {
    for (int box = 0; box < BOXES; box++) {
      int reader = box;
      meshes
          .get(box)
          .onUpstreamNews(
              () -> {
                reads.incrementAndGet();
                learn(reader);
              });
    }
    return true;
  }

  private boolean learn(int box) {
    registries.get(box).replaceAll(REVISION, List.of(UPSTREAM));
    meshes.get(box).tellNow();
    return true;
  }

  private void stopBox(int index) {
    networks.remove(index).close();
    servers.remove(index).disposeNow();
    meshes.remove(index);
    addresses.remove(index);
  }

  /** A port that was free a moment ago may be taken by then; another one is tried. */
  private void startBox() throws IOException {
    List<String> seeds = addresses.isEmpty() ? List.of() : addresses.subList(0, 1);
    for (int tries = 1; ; tries++) {
      try {
        startBox("127.0.0.1:" + freePort(), seeds);
        return;
      } catch (ChannelBindException e) {
        if (tries == MOST_BINDS) {
          throw e;
        }
      }
    }
  }

  private void startBox(String self, List<String> seeds) {
    int port = Integer.parseInt(self.substring(self.indexOf(':') + 1));
    PeerNetwork network =
        new PeerNetwork(
            self,
            new PeerSecret("a secret of sixteen bytes"),
            new PeerTransport(Optional.empty(), Optional.empty(), Optional.of(loops)),
            new BoxMetrics());
    UpstreamRegistry registry = new UpstreamRegistry(EventLogs.silent());
    BoxMesh mesh = newMesh(self, seeds, network, registry);
    servers.add(mesh.start(new InetSocketAddress("127.0.0.1", port)).block(LIMIT));
    networks.add(network);
    registries.add(registry);
    meshes.add(mesh);
    addresses.add(self);
  }

  private BoxMesh newMesh(
      String self, List<String> seeds, PeerNetwork network, UpstreamRegistry registry) {
    MonotonicClock clock = MonotonicClock.system();
    return new BoxMesh(
        self,
        "zone-" + meshes.size() % 3,
        1,
        seeds,
        network,
        loop,
        new DeploymentRegistry(
            document -> {
              throw new IllegalArgumentException("none is read in this test");
            },
            EventLogs.silent()),
        registry,
        new LoadBoard(clock, EventLogs.silent()),
        new PiecesToCome(),
        clock,
        EventLogs.silent());
  }

  private void await(Callable<Boolean> condition) throws Exception {
    while (!onLoop(condition)) {
      Thread.onSpinWait();
    }
  }

  private <T> T onLoop(Callable<T> question) throws Exception {
    return loop.submit(question).get();
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }
}
