package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.gradeledge.batch.BatchCoordinator;
import org.gradeledge.batch.StageWorkClient;
import org.gradeledge.discovery.ListTrust;
import org.gradeledge.event.EventLog;
import org.gradeledge.limit.BoxRank;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.resumption.OriginArchive;
import org.gradeledge.resumption.OriginReplicas;
import org.gradeledge.resumption.StreamOrigins;
import org.gradeledge.time.MonotonicClock;
import org.gradeledge.tunnel.TunnelOffer;
import org.gradeledge.tunnel.TunnelPeers;
import org.gradeledge.tunnel.TunnelRequest;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;

/**
 * Connects a box with the other boxes of its deployment to exchange heartbeats, configuration, the
 * list of upstreams and stage work. A box is identified by the address on which it listens for
 * peers. Confined to the event loop.
 *
 * @since 0.2
 */
public final class BoxMesh {

  private final String self;
  private final String zone;
  private final int weight;
  private final PeerNetwork network;
  private final EventLoop loop;
  private final SharedBoxState state;
  private final PeerTable peers;
  private Supplier<Map<String, List<Long>>> backlogs = Map::of;
  private BiConsumer<String, Map<String, List<Long>>> backlogListener = (box, backlog) -> {};
  private final MeshConnections connections;
  private final HeartbeatRelay relay;
  private final HeartbeatRoutes routes;
  private final DocumentExchange documents;
  private final UpstreamListUpdates listUpdates;
  private final HeartbeatSender sender;
  private final ConnectionMaintenance maintenance;
  private final LostBoxSelector lostBoxes;
  private final SuspectExchange suspects;
  private final ListTrustTracker listTrust;
  private final HeartbeatSequence sequence;
  private long latestConfiguration = -1;
  private long latestUpstreams = -1;
  private boolean leaving;
  private final List<Runnable> leaveActions = new ArrayList<>();

  /**
   * Creates the mesh without starting it.
   *
   * @param weight capacity of this box for work of others, relative to other boxes
   * @param seeds addresses of some boxes, possibly outdated
   */
  public BoxMesh(
      String self,
      String zone,
      int weight,
      Collection<String> seeds,
      PeerNetwork network,
      EventLoop loop,
      SharedBoxState state,
      MonotonicClock clock,
      EventLog events) {
    this.self = self;
    this.zone = zone;
    this.weight = weight;
    this.network = network;
    this.loop = loop;
    this.state = state;
    this.peers = new PeerTable(self, zone, weight, clock, events);
    this.relay = new HeartbeatRelay(self, clock);
    this.sequence = new HeartbeatSequence(clock, System.currentTimeMillis());
    this.connections = new MeshConnections(network, clock);
    this.routes =
        new HeartbeatRoutes(self, zone, peers, network::connectedIds, connections::isUnreachable);
    this.listTrust = new ListTrustTracker(state.upstreams());
    this.documents =
        new DocumentExchange(connections, loop, state.deployments(), state.upstreams(), listTrust);
    this.listUpdates = new UpstreamListUpdates(routes, state.upstreams(), documents, loop);
    this.sender =
        new HeartbeatSender(
            network, loop, clock, peers, routes, relay, connections, this::ownHeartbeat);
    this.maintenance = new ConnectionMaintenance(self, peers, routes, sender, connections, seeds);
    this.lostBoxes = new LostBoxSelector(peers, maintenance.knownBoxes(), new Random());
    this.suspects = new SuspectExchange(state.quarantine(), network, routes, sender, loop, clock);
    MeshMessages.registerFormats(network);
    peers.onLost(relay::removeBox);
    peers.onLost(state::removeBox);
    peers.onLost(connections::removeBox);
    peers.onLost(suspects::removeBox);
    peers.onLost(listTrust::removeBox);
  }

  /** Returns the client that delegates the stage work of each service to its owner. */
  public StageWorkClient stageWorkClient(BatchCoordinator coordinator) {
    new StageWorkHandler(coordinator, connections, loop).registerHandlers(network);
    backlogs = coordinator::backlogMillis;
    MeshStageWorkClient client =
        new MeshStageWorkClient(self, connections, peers, coordinator, loop, state.pendingPieces());
    network.register(
        MeshMessages.STAGE_INPUTS_TAKEN,
        (from, message) -> run(() -> client.onInputsTaken(from.boxId(), message)));
    peers.onLost(client::onBoxLost);
    backlogListener = client::updateBacklogs;
    return client;
  }

  /** Returns the boxes that may connect this one to upstreams. */
  public TunnelPeers tunnelPeers() {
    return new MeshTunnelPeers(self, zone, peers, connections);
  }

  /** Sets the function that connects other boxes to upstreams. */
  public void onTunnelRequest(Function<TunnelRequest, Mono<TunnelOffer>> handler) {
    network.register(MeshMessages.TUNNEL, (from, request) -> supply(() -> handler.apply(request)));
  }

  /** Returns the boxes that store the origins of streams, as this one does for others. */
  public OriginReplicas originReplicas(StreamOrigins origins) {
    OriginExchange exchange = new OriginExchange(self, peers, connections, loop, origins);
    exchange.registerHandlers(network);
    leaveActions.add(exchange::handOver);
    return exchange;
  }

  /** Returns an archive to which one box writes the origins of the streams of all boxes. */
  public OriginArchive originArchive(OriginArchive archive) {
    ArchivingBox archivingBox = new ArchivingBox(self, peers, connections, loop, archive);
    archivingBox.registerHandlers(network);
    leaveActions.add(archivingBox::flush);
    return archivingBox;
  }

  /** Starts listening and sending heartbeats. */
  public Mono<? extends DisposableServer> start(InetSocketAddress listen) {
    network.register(
        MeshMessages.HEARTBEAT, (from, message) -> run(() -> onHeartbeat(from.boxId(), message)));
    network.register(
        MeshMessages.DIGEST, (from, digest) -> run(() -> onDigest(from.boxId(), digest)));
    documents.registerHandlers(network);
    network.register(
        MeshMessages.SUSPECTS, (from, message) -> run(() -> suspects.receive(message)));
    network.setIncarnation(System.currentTimeMillis());
    return network.listen(listen).doOnNext(server -> loop.execute(this::runHeartbeat));
  }

  /** Announces that this box accepts no more work from other boxes. */
  public void leave() {
    leaving = true;
    peers.leave();
    sender.sendHeartbeat();
    leaveActions.forEach(Runnable::run);
  }

  /** Announces the current state to the other boxes without waiting for the next heartbeat. */
  public void announceNow() {
    sender.sendHeartbeat();
    sender.scheduleDigests();
  }

  /** Sets the action to run when another box reports a newer list of upstreams. */
  public void onNewUpstreamList(Runnable action) {
    listUpdates.setReadAction(action);
  }

  /** Sets the action to run once no other box distrusts the list of upstreams any more. */
  public void onListConfirmed(Runnable action) {
    listTrust.onConfirmed(action);
  }

  /** Returns whether heartbeats are relayed and this box receives them in digests. */
  public boolean receivesDigests() {
    return sender.receivesDigests();
  }

  /** Returns whether this box is among the given number of boxes that perform a task for all. */
  public boolean isAssigned(String task, int boxes) {
    return routes.isAmongFirst(task, boxes);
  }

  /** Returns the number of boxes that are alive, including this one. */
  public int aliveCount() {
    return peers.alive().size();
  }

  /** Returns the rank of this box for a task, empty until it has discovered its peers. */
  public Optional<BoxRank> rank(String task) {
    return peers.rank(task);
  }

  private void runHeartbeat() {
    peers.expire(sender.timeoutMillis());
    listTrust.onHeartbeatInterval();
    maintenance.maintain();
    lostBoxes.next().ifPresent(sender::tryReconnect);
    sender.sendScheduled();
    loop.schedule(this::runHeartbeat, sender.intervalMillis(), TimeUnit.MILLISECONDS);
  }

  private Heartbeat ownHeartbeat() {
    return state.heartbeat(zone, leaving, weight, backlogs.get(), sequence.next());
  }

  private void onHeartbeat(String box, Heartbeat heartbeat) {
    relay.receive(box, heartbeat);
    applyHeartbeat(box, box, heartbeat, 0);
    suspects.compareDigest(box, heartbeat.quarantineDigest());
    if (heartbeat.listsBoxes()) {
      sender.sendIntroduction(box);
    }
  }

  private void onDigest(String relayBox, Digest digest) {
    sender.recordDigest();
    digest.entries().stream()
        .filter(entry -> entry.box().equals(relayBox))
        .forEach(entry -> onRelayHeartbeat(relayBox, entry.heartbeat()));
    relay
        .acceptNewer(digest)
        .forEach(
            entry -> applyHeartbeat(relayBox, entry.box(), entry.heartbeat(), entry.ageMillis()));
  }

  private void onRelayHeartbeat(String relayBox, Heartbeat heartbeat) {
    listUpdates.onRelayRevision(relayBox, heartbeat.upstreamsRevision());
    suspects.compareDigest(relayBox, heartbeat.quarantineDigest());
  }

  private void applyHeartbeat(String reporter, String box, Heartbeat heartbeat, long ageMillis) {
    peers.update(box, heartbeat.zone(), heartbeat.leaving(), heartbeat.weight(), ageMillis);
    backlogListener.accept(box, heartbeat.backlogMillis());
    maintenance.addKnown(box, heartbeat.aliveBoxes());
    documents.scheduleConfigurationFetch(reporter, box, heartbeat.configurationRevision());
    boolean trustChanged = listTrust.update(box, ListTrust.ofCode(heartbeat.listTrust()));
    listUpdates.onRevision(box, heartbeat.upstreamsRevision());
    boolean stateChanged = state.applyHeartbeat(box, heartbeat, ageMillis);
    if (hasNewRevision(heartbeat) || stateChanged || trustChanged) {
      sender.scheduleDigests();
    }
  }

  private boolean hasNewRevision(Heartbeat heartbeat) {
    boolean newer =
        heartbeat.configurationRevision() > latestConfiguration
            || heartbeat.upstreamsRevision() > latestUpstreams;
    latestConfiguration = Math.max(latestConfiguration, heartbeat.configurationRevision());
    latestUpstreams = Math.max(latestUpstreams, heartbeat.upstreamsRevision());
    return newer;
  }

  private <T> Mono<T> supply(Supplier<Mono<T>> action) {
    return Mono.defer(action).subscribeOn(Schedulers.fromExecutor(loop));
  }

  private Mono<Void> run(Runnable action) {
    return Mono.fromRunnable(() -> loop.execute(action));
  }
}
