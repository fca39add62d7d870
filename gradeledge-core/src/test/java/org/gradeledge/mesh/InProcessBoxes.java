package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
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
import org.gradeledge.deployment.TestDeployments;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLogs;
import org.gradeledge.event.RecordedEvents;
import org.gradeledge.limit.UpstreamLimits;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.peer.PeerSecret;
import org.gradeledge.peer.PeerTransport;
import org.gradeledge.quarantine.Quarantine;
import org.gradeledge.resumption.FakeOriginArchive;
import org.gradeledge.resumption.StreamOriginDirectory;
import org.gradeledge.resumption.StreamOrigins;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.MonotonicClock;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;

/** Runs the meshes of several boxes on one event loop, with real connections between them. */
final class InProcessBoxes implements AutoCloseable {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** Attempts to bind a free port; another process may take it in the meantime. */
  private static final int MAX_BIND_ATTEMPTS = 5;

  /** A random secret, as a port may pass from a box of another test to one of this test. */
  private final PeerSecret secret = new PeerSecret(UUID.randomUUID().toString());

  private final LoopResources loops = LoopResources.create("mesh", 1, 1, true, false);
  private final EventLoop loop = loops.onClient(false).next();
  private final List<BoxMesh> meshes = new ArrayList<>();
  private final List<PeerNetwork> networks = new ArrayList<>();
  private final List<UpstreamRegistry> registries = new ArrayList<>();
  private final List<DeploymentRegistry> deploymentRegistries = new ArrayList<>();
  private final RecordedEvents configurationEvents = new RecordedEvents();
  private final List<Quarantine> quarantines = new ArrayList<>();
  private final List<UpstreamLimits> upstreamLimits = new ArrayList<>();
  private final FakeOriginArchive archive = new FakeOriginArchive();
  private final List<StreamOrigins> streamOrigins = new ArrayList<>();
  private final List<StreamOriginDirectory> originDirectories = new ArrayList<>();
  private final List<DisposableServer> servers = new ArrayList<>();
  private final List<String> addresses = new ArrayList<>();

  List<BoxMesh> meshes() {
    return meshes;
  }

  List<PeerNetwork> networks() {
    return networks;
  }

  FakeOriginArchive archive() {
    return archive;
  }

  /** Returns the upstream registries of the boxes, in start order. */
  List<UpstreamRegistry> registries() {
    return registries;
  }

  /** Returns the configurations of the boxes, in start order. */
  List<DeploymentRegistry> deployments() {
    return deploymentRegistries;
  }

  /** Returns how many boxes took a configuration from the given box. */
  long configurationsTakenFrom(int box) {
    return configurationEvents.count("configuration-in-force", "source", address(box));
  }

  /** Returns the quarantines of the boxes, in start order. */
  List<Quarantine> quarantines() {
    return quarantines;
  }

  /** Returns the upstream limits of the boxes, in start order. */
  List<UpstreamLimits> limits() {
    return upstreamLimits;
  }

  /** Returns the origins of streams that the boxes store, in start order. */
  List<StreamOrigins> streamOrigins() {
    return streamOrigins;
  }

  /** Returns the directories of stream origins of the boxes, in start order. */
  List<StreamOriginDirectory> originDirectories() {
    return originDirectories;
  }

  String address(int box) {
    return addresses.get(box);
  }

  void startBoxes(int count) throws IOException {
    for (int box = 0; box < count; box++) {
      startBox();
    }
  }

  /** Waits until all boxes receive digests and see the given number of boxes. */
  void awaitCompleteViews(int boxes) throws Exception {
    await(() -> meshes.stream().allMatch(BoxMesh::receivesDigests));
    await(() -> meshes.stream().allMatch(mesh -> mesh.aliveCount() == boxes));
  }

  void stopBox(int index) {
    networks.remove(index).close();
    servers.remove(index).disposeNow();
    meshes.remove(index);
    addresses.remove(index);
    streamOrigins.remove(index);
    originDirectories.remove(index);
  }

  /** Starts a box on a free port; retries if the port is taken in the meantime. */
  void startBox() throws IOException {
    List<String> seeds = addresses.isEmpty() ? List.of() : addresses.subList(0, 1);
    for (int attempt = 1; ; attempt++) {
      try {
        startBox("127.0.0.1:" + freePort(), seeds);
        return;
      } catch (ChannelBindException e) {
        if (attempt == MAX_BIND_ATTEMPTS) {
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
    upstreamLimits.add(limits);
    DeploymentRegistry deployments =
        new DeploymentRegistry(
            document -> Either.right(TestDeployments.of(document[0])), configurationEvents.log());
    deploymentRegistries.add(deployments);
    SharedBoxState state =
        new SharedBoxState(
            deployments,
            registry,
            new UpstreamLoads(clock, EventLogs.silent()),
            new PendingPieces(),
            quarantine,
            limits);
    String zone = "zone-" + meshes.size() % 3;
    BoxMesh mesh =
        new BoxMesh(self, zone, 1, seeds, network, loop, state, clock, EventLogs.silent());
    StreamOrigins origins = new StreamOrigins(clock);
    streamOrigins.add(origins);
    originDirectories.add(
        new StreamOriginDirectory(
            origins, mesh.originReplicas(origins), mesh.originArchive(archive)));
    return mesh;
  }

  /** Waits for a condition; on interruption by the test timeout, reports the views of all boxes. */
  void await(Callable<Boolean> condition) throws Exception {
    try {
      while (!onLoop(condition)) {
        Thread.onSpinWait();
      }
    } catch (InterruptedException e) {
      throw new AssertionError("timed out; views of the boxes: " + onLoop(this::describeViews), e);
    }
  }

  private String describeViews() {
    return IntStream.range(0, meshes.size())
        .mapToObj(
            box ->
                addresses.get(box)
                    + " sees "
                    + meshes.get(box).aliveCount()
                    + (meshes.get(box).receivesDigests() ? " by digests" : " directly")
                    + " boxes, connected with "
                    + networks.get(box).connectedIds())
        .collect(Collectors.joining("\n"));
  }

  <T> T onLoop(Callable<T> action) throws Exception {
    return loop.submit(action).get();
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
