package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.gradeledge.batch.PendingPieces;
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.limit.UpstreamLimits;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.peer.PeerSecret;
import org.gradeledge.peer.PeerTransport;
import org.gradeledge.quarantine.Quarantine;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.MonotonicClock;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;

/** Meshes of boxes that hear each other over real connections, on one event loop. */
final class InProcessBoxes implements AutoCloseable {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** Tries to listen on a port that was free; several in a row being taken is another fault. */
  private static final int MAX_BIND_ATTEMPTS = 5;

  /** Another one than that of boxes that other tests run: a port may pass from one to another. */
  private final PeerSecret secret = new PeerSecret(UUID.randomUUID().toString());

  private final LoopResources loops = LoopResources.create("mesh", 1, 1, true, false);
  private final EventLoop loop = loops.onClient(false).next();
  private final List<BoxMesh> meshes = new ArrayList<>();
  private final List<PeerNetwork> networks = new ArrayList<>();
  private final List<UpstreamRegistry> registries = new ArrayList<>();
  private final List<Quarantine> quarantines = new ArrayList<>();
  private final List<UpstreamLimits> limitsOfBoxes = new ArrayList<>();
  private final List<DisposableServer> servers = new ArrayList<>();
  private final List<String> addresses = new ArrayList<>();

  List<BoxMesh> meshes() {
    return meshes;
  }

  List<PeerNetwork> networks() {
    return networks;
  }

  /** Returns what the boxes know of upstreams, in the order in which they were started. */
  List<UpstreamRegistry> registries() {
    return registries;
  }

  /** Returns what the boxes know of requests that end upstreams, in the same order. */
  List<Quarantine> quarantines() {
    return quarantines;
  }

  /** Returns what the boxes know of limits that upstreams name, in the same order. */
  List<UpstreamLimits> limits() {
    return limitsOfBoxes;
  }

  String address(int box) {
    return addresses.get(box);
  }

  void startBoxes(int count) throws IOException {
    for (int box = 0; box < count; box++) {
      startBox();
    }
  }

  /** Waits until there are so many boxes and each hears all of them, over relays. */
  void awaitCompleteViews(int boxes) throws Exception {
    await(() -> meshes.stream().allMatch(BoxMesh::receivesDigests));
    await(() -> meshes.stream().allMatch(mesh -> mesh.aliveCount() == boxes));
  }

  void stopBox(int index) {
    networks.remove(index).close();
    servers.remove(index).disposeNow();
    meshes.remove(index);
    addresses.remove(index);
  }

  /** A port that was free a moment ago may be taken by then; another one is tried. */
  void startBox() throws IOException {
    List<String> seeds = addresses.isEmpty() ? List.of() : addresses.subList(0, 1);
    for (int tries = 1; ; tries++) {
      try {
        startBox("127.0.0.1:" + freePort(), seeds);
        return;
      } catch (ChannelBindException e) {
        if (tries == MAX_BIND_ATTEMPTS) {
          throw e;
        }
      }
    }
  }

  void startBox(String self, List<String> seeds) {
    int port = Integer.parseInt(self.substring(self.indexOf(':') + 1));
    PeerNetwork network =
        new PeerNetwork(
            self,
            secret,
            new PeerTransport(Optional.empty(), Optional.empty(), Optional.of(loops)),
            new BoxMetrics());
    UpstreamRegistry registry = new UpstreamRegistry(EventLogs.silent());
    BoxMesh mesh = newMesh(self, seeds, network, registry);
    servers.add(mesh.start(new InetSocketAddress("127.0.0.1", port)).block(TIMEOUT));
    networks.add(network);
    registries.add(registry);
    meshes.add(mesh);
    addresses.add(self);
  }

  private BoxMesh newMesh(
      String self, List<String> seeds, PeerNetwork network, UpstreamRegistry registry) {
    MonotonicClock clock = MonotonicClock.system();
    Quarantine quarantine = new Quarantine(clock);
    quarantines.add(quarantine);
    UpstreamLimits limits = new UpstreamLimits(clock, EventLogs.silent(), registry::all);
    limitsOfBoxes.add(limits);
    DeploymentRegistry deployments =
        new DeploymentRegistry(
            document -> {
              throw new IllegalArgumentException("none is read in this test");
            },
            EventLogs.silent());
    SharedBoxState beliefs =
        new SharedBoxState(
            deployments,
            registry,
            new UpstreamLoads(clock, EventLogs.silent()),
            new PendingPieces(),
            quarantine,
            limits);
    return new BoxMesh(
        self,
        "zone-" + meshes.size() % 3,
        1,
        seeds,
        network,
        loop,
        beliefs,
        clock,
        EventLogs.silent());
  }

  /** Waits; where the test's time is up, tells what each box heard and was connected with. */
  void await(Callable<Boolean> condition) throws Exception {
    try {
      while (!onLoop(condition)) {
        Thread.onSpinWait();
      }
    } catch (InterruptedException e) {
      throw new AssertionError("time is up; the views: " + onLoop(this::describeViews), e);
    }
  }

  private String describeViews() {
    return IntStream.range(0, meshes.size())
        .mapToObj(
            box ->
                addresses.get(box)
                    + " hears "
                    + meshes.get(box).aliveCount()
                    + (meshes.get(box).receivesDigests() ? " by digests" : " directly")
                    + ", connected with "
                    + networks.get(box).connectedIds())
        .collect(Collectors.joining("\n"));
  }

  <T> T onLoop(Callable<T> question) throws Exception {
    return loop.submit(question).get();
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  @Override
  public void close() {
    networks.forEach(PeerNetwork::close);
    loops.disposeLater(Duration.ZERO, TIMEOUT).block(TIMEOUT);
  }
}
