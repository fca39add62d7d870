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
  private final int strength;
  private final PeerNetwork network;
  private final EventLoop loop;
  private final BoxBeliefs beliefs;
  private final PeerBoard peers;
  private final Set<String> known = new HashSet<>();
  private final Collection<String> seeds;
  private Supplier<Map<String, List<Long>>> backlogs = Map::of;
  private BiConsumer<String, Map<String, List<Long>>> onBacklogs = (box, backlog) -> {};
  private final MeshLinks links;
  private final HeartbeatRelay relay;
  private final HeartbeatRoutes routes;
  private final DocumentExchange documents;
  private final UpstreamNews upstreamNews;
  private final HeartbeatSender sender;
  private final LostBoxes lost;
  private final SuspectExchange suspects;
  private final ListDoubts listDoubts;
  private final BeatNumbers numbers;
  private long newestConfiguration = -1;
  private long newestUpstreams = -1;
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
      BoxBeliefs beliefs,
      MonotonicClock clock,
      EventLog events) {
    this.self = self;
    this.zone = zone;
    this.strength = strength;
    this.network = network;
    this.loop = loop;
    this.beliefs = beliefs;
    this.seeds = seeds.stream().filter(seed -> !seed.equals(self)).toList();
    this.peers = new PeerBoard(self, zone, strength, clock, events);
    this.relay = new HeartbeatRelay(self, clock);
    this.numbers = new BeatNumbers(clock, System.currentTimeMillis());
    this.links = new MeshLinks(network, clock);
    this.routes =
        new HeartbeatRoutes(self, zone, peers, network::connectedIds, links::isUnreachable);
    this.listDoubts = new ListDoubts(beliefs.upstreams());
    this.documents =
        new DocumentExchange(links, loop, beliefs.deployments(), beliefs.upstreams(), listDoubts);
    this.upstreamNews = new UpstreamNews(routes, beliefs.upstreams(), documents, loop);
    this.sender = new HeartbeatSender(network, loop, clock, peers, routes, relay, links, this::own);
    this.lost = new LostBoxes(peers, known, new Random());
    this.suspects = new SuspectExchange(beliefs.quarantine(), network, routes, sender, loop, clock);
    MeshMessages.registerFormats(network);
    peers.onLost(relay::forget);
    peers.onLost(beliefs::forget);
    peers.onLost(links::lost);
    peers.onLost(suspects::lost);
    peers.onLost(listDoubts::lost);
  }

  /** Returns what has stage work done by one box for each service. */
  public StageWorkClient stageWork(BatchCoordinator coordinator) {
    StageWorkHandler handler = new StageWorkHandler(coordinator, links);
    network.register(
        MeshMessages.STAGE_WORK, (from, group) -> onLoop(() -> work(handler, from, group)));
    network.register(
        MeshMessages.STAGE_CANCEL,
        (from, message) -> done(() -> coordinator.cancel(message.service(), message.requestId())));
    network.register(
        MeshMessages.STAGE_FREE,
        (from, message) -> done(() -> coordinator.release(message.handles())));
    backlogs = coordinator::backlogMillis;
    MeshStageWorkClient client =
        new MeshStageWorkClient(self, links, peers, coordinator, loop, beliefs.toCome());
    network.register(
        MeshMessages.STAGE_INPUTS_TAKEN,
        (from, message) -> done(() -> client.inputsTaken(from.boxId(), message)));
    peers.onLost(client::lost);
    onBacklogs = client::heardBacklogs;
    return client;
  }

  private Mono<StageGroupResult> work(
      StageWorkHandler handler, PeerIdentity from, StageGroup group) {
    links.use(from.boxId());
    return handler.work(from.boxId(), group);
  }

  /** Listens and starts to tell. */
  public Mono<? extends DisposableServer> start(InetSocketAddress listen) {
    network.register(
        MeshMessages.HEARTBEAT, (from, beat) -> done(() -> heardDirectly(from.boxId(), beat)));
    network.register(
        MeshMessages.DIGEST, (from, digest) -> done(() -> heardDigest(from.boxId(), digest)));
    network.register(
        MeshMessages.CONFIGURATION,
        (from, request) -> onLoop(() -> Mono.just(documents.configuration())));
    network.register(
        MeshMessages.UPSTREAMS,
        (from, request) -> onLoop(() -> Mono.just(documents.upstreamList())));
    network.register(MeshMessages.SUSPECTS, (from, news) -> done(() -> suspects.heard(news)));
    network.setIncarnation(System.currentTimeMillis());
    return network.listen(listen).doOnNext(server -> loop.execute(this::beat));
  }

  /** Tells the others that this box takes no more work for them. */
  public void leave() {
    leaving = true;
    peers.leave();
    sender.tell();
  }

  /** Tells the others at once what was just learned. */
  public void tellNow() {
    sender.tell();
    sender.tellDigestsSoon();
  }

  /** Runs an action whenever another box has read something newer of the list of upstreams. */
  public void onUpstreamNews(Runnable action) {
    upstreamNews.onRead(action);
  }

  /** Runs an action once no other box doubts the list of upstreams any more. */
  public void onListSettled(Runnable action) {
    listDoubts.onSettled(action);
  }

  /** Returns whether there are many boxes and this one hears of them by digests. */
  public boolean hearsDigests() {
    return sender.hearsDigests();
  }

  /** Returns whether this box is among so many that have a duty for all. */
  public boolean hasDuty(String duty, int boxes) {
    return routes.isAmongFirst(duty, boxes);
  }

  /** Returns how many boxes are heard, this one included. */
  public int boxes() {
    return peers.alive().size();
  }

  /** Returns where this box stands for a duty among those that may be at work, if it can know. */
  public Optional<BoxRank> rank(String duty) {
    return peers.rank(duty);
  }

  private void beat() {
    peers.expire(sender.silenceMillis());
    listDoubts.beat();
    connect();
    sender.beat();
    loop.schedule(this::beat, sender.intervalMillis(), TimeUnit.MILLISECONDS);
  }

  /**
   * Few boxes are all connected; among many each keeps up those that it needs. A box that has just
   * started among many knows more than it hears: it waits to be introduced by those that it hears,
   * as connections with all that it knows would be most of what its start costs.
   */
  private void connect() {
    if (routes.many()) {
      links.use(sender.neighbours());
    } else {
      links.use(HeartbeatRoutes.areMany(known.size()) ? othersHeard() : known);
    }
    links.keepUp(sender.hearsDigests() ? List.of() : seeds);
    lost.next().ifPresent(sender::meet);
  }

  private List<String> othersHeard() {
    return peers.alive().stream().filter(box -> !box.equals(self)).toList();
  }

  private Heartbeat own() {
    return beliefs.heartbeat(zone, leaving, strength, backlogs.get(), numbers.next());
  }

  private void heardDirectly(String box, Heartbeat beat) {
    relay.heard(box, beat);
    heard(box, beat, 0);
    suspects.compare(box, beat.suspects());
    if (beat.isOfFew()) {
      sender.introduce(box);
    }
  }

  private void heardDigest(String relayBox, Digest digest) {
    sender.heardDigest();
    digest.entries().stream()
        .filter(entry -> entry.box().equals(relayBox))
        .forEach(entry -> heardFromRelay(relayBox, entry.beat()));
    relay.takeNewer(digest).forEach(entry -> heard(entry.box(), entry.beat(), entry.ageMillis()));
  }

  private void heardFromRelay(String relayBox, Heartbeat beat) {
    upstreamNews.heardFromRelay(relayBox, beat.upstreams());
    suspects.compare(relayBox, beat.suspects());
  }

  private void heard(String box, Heartbeat beat, long ageMillis) {
    peers.heard(box, beat.zone(), beat.leaving(), beat.strength(), ageMillis);
    onBacklogs.accept(box, beat.backlogMillis());
    known.add(box);
    beat.boxes().stream().filter(other -> !other.equals(self)).forEach(known::add);
    documents.learnConfigurationSoon(box, beat.configuration());
    boolean otherDoubt = listDoubts.heard(box, ListTrust.ofCode(beat.listTrust()));
    upstreamNews.heardOf(box, beat.upstreams());
    boolean news = beliefs.heard(box, beat, ageMillis);
    if (isNews(beat) || news || otherDoubt) {
      sender.tellDigestsSoon();
    }
  }

  private boolean isNews(Heartbeat beat) {
    boolean news = beat.configuration() > newestConfiguration || beat.upstreams() > newestUpstreams;
    newestConfiguration = Math.max(newestConfiguration, beat.configuration());
    newestUpstreams = Math.max(newestUpstreams, beat.upstreams());
    return news;
  }

  private <T> Mono<T> onLoop(Supplier<Mono<T>> action) {
    return Mono.defer(action).subscribeOn(Schedulers.fromExecutor(loop));
  }

  private Mono<Void> done(Runnable action) {
    return Mono.fromRunnable(() -> loop.execute(action));
  }
}
