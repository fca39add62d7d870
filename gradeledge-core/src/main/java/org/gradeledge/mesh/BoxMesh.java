package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.gradeledge.batch.BatchCoordinator;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageGroupResult;
import org.gradeledge.batch.StageWorkClient;
import org.gradeledge.discovery.ListTrust;
import org.gradeledge.event.EventLog;
import org.gradeledge.limit.BoxRank;
import org.gradeledge.peer.PeerIdentity;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.time.MonotonicClock;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;

/**
 * Keeps the boxes of a deployment in touch: each tells the others what it has in force and under
 * way, straight or over relays, and learns from them what it could not read itself. A box is named
 * by the address that it listens on for peers.
 *
 * <p>Confined to the event loop.
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
  private final Set<String> knownBoxes = new HashSet<>();
  private final Collection<String> seeds;
  private Supplier<Map<String, List<Long>>> backlogs = Map::of;
  private BiConsumer<String, Map<String, List<Long>>> backlogListener = (box, backlog) -> {};
  private final MeshConnections connections;
  private final HeartbeatRelay relay;
  private final HeartbeatRoutes routes;
  private final DocumentExchange documents;
  private final UpstreamListUpdates listUpdates;
  private final HeartbeatSender sender;
  private final LostBoxSelector lostBoxes;
  private final SuspectExchange suspects;
  private final ListTrustTracker listTrust;
  private final HeartbeatSequence sequence;
  private long latestConfigurationRevision = -1;
  private long latestUpstreamsRevision = -1;
  private boolean leaving;

  /**
   * Creates the mesh; it does not speak yet.
   *
   * @param self address of this box
   * @param zone its availability zone
   * @param strength how much work for others it can bear, compared with that of other boxes
   * @param seeds addresses of some boxes, which may be stale
   */
  public BoxMesh(
      String self,
      String zone,
      int strength,
      Collection<String> seeds,
      PeerNetwork network,
      EventLoop loop,
      SharedBoxState beliefs,
      MonotonicClock clock,
      EventLog events) {
    this.self = self;
    this.zone = zone;
    this.weight = strength;
    this.network = network;
    this.loop = loop;
    this.state = beliefs;
    this.seeds = seeds.stream().filter(seed -> !seed.equals(self)).toList();
    this.peers = new PeerTable(self, zone, strength, clock, events);
    this.relay = new HeartbeatRelay(self, clock);
    this.sequence = new HeartbeatSequence(clock, System.currentTimeMillis());
    this.connections = new MeshConnections(network, clock);
    this.routes =
        new HeartbeatRoutes(self, zone, peers, network::connectedIds, connections::isUnreachable);
    this.listTrust = new ListTrustTracker(beliefs.upstreams());
    this.documents =
        new DocumentExchange(
            connections, loop, beliefs.deployments(), beliefs.upstreams(), listTrust);
    this.listUpdates = new UpstreamListUpdates(routes, beliefs.upstreams(), documents, loop);
    this.sender =
        new HeartbeatSender(
            network, loop, clock, peers, routes, relay, connections, this::ownHeartbeat);
    this.lostBoxes = new LostBoxSelector(peers, knownBoxes, new Random());
    this.suspects = new SuspectExchange(beliefs.quarantine(), network, routes, sender, loop, clock);
    MeshMessages.registerFormats(network);
    peers.onLost(relay::removeBox);
    peers.onLost(beliefs::removeBox);
    peers.onLost(connections::removeBox);
    peers.onLost(suspects::removeBox);
    peers.onLost(listTrust::removeBox);
  }

  /** Returns what has stage work done by one box for each service. */
  public StageWorkClient stageWorkClient(BatchCoordinator coordinator) {
    StageWorkHandler handler = new StageWorkHandler(coordinator, connections);
    network.register(
        MeshMessages.STAGE_WORK,
        (from, group) -> supplyOnLoop(() -> handleStageGroup(handler, from, group)));
    network.register(
        MeshMessages.STAGE_CANCEL,
        (from, message) ->
            executeOnLoop(() -> coordinator.cancel(message.service(), message.requestId())));
    network.register(
        MeshMessages.STAGE_FREE,
        (from, message) -> executeOnLoop(() -> coordinator.release(message.handles())));
    backlogs = coordinator::backlogMillis;
    MeshStageWorkClient client =
        new MeshStageWorkClient(self, connections, peers, coordinator, loop, state.pendingPieces());
    network.register(
        MeshMessages.STAGE_INPUTS_TAKEN,
        (from, message) -> executeOnLoop(() -> client.onInputsTaken(from.boxId(), message)));
    peers.onLost(client::onBoxLost);
    backlogListener = client::updateBacklogs;
    return client;
  }

  private Mono<StageGroupResult> handleStageGroup(
      StageWorkHandler handler, PeerIdentity from, StageGroup group) {
    connections.markUsed(from.boxId());
    return handler.handle(from.boxId(), group);
  }

  /** Listens and starts to tell. */
  public Mono<? extends DisposableServer> start(InetSocketAddress listen) {
    network.register(
        MeshMessages.HEARTBEAT,
        (from, beat) -> executeOnLoop(() -> onHeartbeat(from.boxId(), beat)));
    network.register(
        MeshMessages.DIGEST, (from, digest) -> executeOnLoop(() -> onDigest(from.boxId(), digest)));
    network.register(
        MeshMessages.CONFIGURATION,
        (from, request) -> supplyOnLoop(() -> Mono.just(documents.configuration())));
    network.register(
        MeshMessages.UPSTREAMS,
        (from, request) -> supplyOnLoop(() -> Mono.just(documents.upstreamList())));
    network.register(
        MeshMessages.SUSPECTS, (from, news) -> executeOnLoop(() -> suspects.receive(news)));
    network.setIncarnation(System.currentTimeMillis());
    return network.listen(listen).doOnNext(server -> loop.execute(this::runHeartbeat));
  }

  /** Tells the others that this box takes no more work for them. */
  public void leave() {
    leaving = true;
    peers.leave();
    sender.sendHeartbeat();
  }

  /** Tells the others at once what was just learned. */
  public void announceNow() {
    sender.sendHeartbeat();
    sender.scheduleDigests();
  }

  /** Runs an action whenever another box has read something newer of the list of upstreams. */
  public void onNewUpstreamList(Runnable action) {
    listUpdates.setReadAction(action);
  }

  /** Runs an action once no other box doubts the list of upstreams any more. */
  public void onListConfirmed(Runnable action) {
    listTrust.onConfirmed(action);
  }

  /** Returns whether there are many boxes and this one hears of them by digests. */
  public boolean receivesDigests() {
    return sender.receivesDigests();
  }

  /** Returns whether this box is among so many that have a duty for all. */
  public boolean isAssigned(String duty, int boxes) {
    return routes.isAmongFirst(duty, boxes);
  }

  /** Returns how many boxes are heard, this one included. */
  public int aliveCount() {
    return peers.alive().size();
  }

  /** Returns where this box stands for a duty among those that may be at work, if it can know. */
  public Optional<BoxRank> rank(String duty) {
    return peers.rank(duty);
  }

  private void runHeartbeat() {
    peers.expire(sender.timeoutMillis());
    listTrust.onHeartbeatInterval();
    maintainConnections();
    sender.sendScheduled();
    loop.schedule(this::runHeartbeat, sender.intervalMillis(), TimeUnit.MILLISECONDS);
  }

  /**
   * Few boxes are all connected; among many each keeps up those that it needs. A box that has just
   * started among many knows more than it hears: it waits to be introduced by those that it hears,
   * as connections with all that it knows would be most of what its start costs.
   */
  private void maintainConnections() {
    if (routes.usesRelays()) {
      connections.markUsed(sender.requiredConnections());
    } else {
      connections.markUsed(
          HeartbeatRoutes.requiresRelays(knownBoxes.size()) ? otherAliveBoxes() : knownBoxes);
    }
    connections.maintain(sender.receivesDigests() ? List.of() : seeds);
    lostBoxes.next().ifPresent(sender::tryReconnect);
  }

  private List<String> otherAliveBoxes() {
    return peers.alive().stream().filter(box -> !box.equals(self)).toList();
  }

  private Heartbeat ownHeartbeat() {
    return state.heartbeat(zone, leaving, weight, backlogs.get(), sequence.next());
  }

  private void onHeartbeat(String box, Heartbeat beat) {
    relay.receive(box, beat);
    applyHeartbeat(box, beat, 0);
    suspects.compareDigest(box, beat.quarantineDigest());
    if (beat.listsBoxes()) {
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
        .forEach(entry -> applyHeartbeat(entry.box(), entry.heartbeat(), entry.ageMillis()));
  }

  private void onRelayHeartbeat(String relayBox, Heartbeat beat) {
    listUpdates.onRelayRevision(relayBox, beat.upstreamsRevision());
    suspects.compareDigest(relayBox, beat.quarantineDigest());
  }

  private void applyHeartbeat(String box, Heartbeat beat, long ageMillis) {
    peers.update(box, beat.zone(), beat.leaving(), beat.weight(), ageMillis);
    backlogListener.accept(box, beat.backlogMillis());
    knownBoxes.add(box);
    beat.aliveBoxes().stream().filter(other -> !other.equals(self)).forEach(knownBoxes::add);
    documents.scheduleConfigurationFetch(box, beat.configurationRevision());
    boolean otherDoubt = listTrust.update(box, ListTrust.ofCode(beat.listTrust()));
    listUpdates.onRevision(box, beat.upstreamsRevision());
    boolean news = state.applyHeartbeat(box, beat, ageMillis);
    if (hasNewRevision(beat) || news || otherDoubt) {
      sender.scheduleDigests();
    }
  }

  private boolean hasNewRevision(Heartbeat beat) {
    boolean news =
        beat.configurationRevision() > latestConfigurationRevision
            || beat.upstreamsRevision() > latestUpstreamsRevision;
    latestConfigurationRevision =
        Math.max(latestConfigurationRevision, beat.configurationRevision());
    latestUpstreamsRevision = Math.max(latestUpstreamsRevision, beat.upstreamsRevision());
    return news;
  }

  private <T> Mono<T> supplyOnLoop(Supplier<Mono<T>> action) {
    return Mono.defer(action).subscribeOn(Schedulers.fromExecutor(loop));
  }

  private Mono<Void> executeOnLoop(Runnable action) {
    return Mono.fromRunnable(() -> loop.execute(action));
  }
}
