package org.gradeledge.mesh;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.gradeledge.batch.BatchCoordinator;
import org.gradeledge.batch.PiecesToCome;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageGroupResult;
import org.gradeledge.batch.StageWorkClient;
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLog;
import org.gradeledge.peer.PeerAddress;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.selection.LoadBoard;
import org.gradeledge.time.MonotonicClock;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;

/**
 * Keeps the boxes of a deployment in touch: each tells all others what it has in force and under
 * way, and learns from them what it could not read itself. A box is named by the address that it
 * listens on for peers.
 *
 * <p>Confined to the event loop.
 *
 * @since 0.2
 */
public final class BoxMesh {

  private static final long BEAT_MILLIS = 200;
  private static final int BOXES_AT_FULL_RATE = 12;
  private static final int BEATS_TO_LOSE = 5;
  private static final long LEARN_DELAY_MILLIS = 150;
  private static final Duration ANSWER_LIMIT = Duration.ofMillis(800);

  private final String self;
  private final PeerNetwork network;
  private final EventLoop loop;
  private final DeploymentRegistry deployments;
  private final UpstreamRegistry upstreams;
  private final LoadBoard board;
  private final PeerBoard peers;
  private final Set<String> known = new HashSet<>();
  private final Collection<String> seeds;
  private final PiecesToCome toCome;
  private Supplier<Map<String, List<Long>>> backlogs = Map::of;
  private BiConsumer<String, Map<String, List<Long>>> onBacklogs = (box, backlog) -> {};
  private boolean learningConfiguration;
  private boolean learningUpstreams;
  private boolean leaving;

  /**
   * Creates the mesh; it does not speak yet.
   *
   * @param self address of this box
   * @param seeds addresses of some boxes, which may be stale
   */
  public BoxMesh(
      String self,
      Collection<String> seeds,
      PeerNetwork network,
      EventLoop loop,
      DeploymentRegistry deployments,
      UpstreamRegistry upstreams,
      LoadBoard board,
      PiecesToCome toCome,
      MonotonicClock clock,
      EventLog events) {
    this.self = self;
    this.network = network;
    this.loop = loop;
    this.deployments = deployments;
    this.upstreams = upstreams;
    this.board = board;
    this.toCome = toCome;
    this.seeds = seeds.stream().filter(seed -> !seed.equals(self)).toList();
    this.peers = new PeerBoard(self, clock, events);
    peers.onLost(box -> board.setPeerShares(box, Map.of()));
    peers.onLost(toCome::forget);
    peers.onLost(network::disconnect);
  }

  /** Returns what has stage work done by one box for each service. */
  public StageWorkClient stageWork(BatchCoordinator coordinator) {
    network.register(
        MeshMessages.STAGE_WORK, (from, group) -> onLoop(() -> work(coordinator, group)));
    network.register(
        MeshMessages.STAGE_CANCEL,
        (from, message) -> done(() -> coordinator.cancel(message.service(), message.requestId())));
    network.register(
        MeshMessages.STAGE_FREE,
        (from, message) -> done(() -> coordinator.free(message.handles())));
    backlogs = coordinator::backlogMillis;
    MeshStageWorkClient client =
        new MeshStageWorkClient(self, network, peers, coordinator, loop, toCome);
    peers.onLost(client::lost);
    onBacklogs = client::heardBacklogs;
    return client;
  }

  /** Listens and starts to tell. */
  public Mono<? extends DisposableServer> start(InetSocketAddress listen) {
    network.register(MeshMessages.HEARTBEAT, (from, beat) -> done(() -> heard(from.boxId(), beat)));
    network.register(
        MeshMessages.CONFIGURATION, (from, request) -> onLoop(() -> Mono.just(configuration())));
    network.register(
        MeshMessages.UPSTREAMS, (from, request) -> onLoop(() -> Mono.just(upstreamList())));
    network.setIncarnation(System.currentTimeMillis());
    return network.listen(listen).doOnNext(server -> loop.execute(this::beat));
  }

  /** Tells the others that this box takes no more work for them. */
  public void leave() {
    leaving = true;
    peers.leave();
    tell();
  }

  /** Tells the others at once what was just learned. */
  public void tellNow() {
    tell();
  }

  /** Returns how many boxes are heard, this one included. */
  public int boxes() {
    return peers.alive().size();
  }

  private void beat() {
    long interval = BEAT_MILLIS * Math.max(1, peers.alive().size() / BOXES_AT_FULL_RATE);
    peers.expire(interval * BEATS_TO_LOSE);
    connect();
    tell();
    loop.schedule(this::beat, interval, TimeUnit.MILLISECONDS);
  }

  private void connect() {
    Set<String> wanted = new HashSet<>(known);
    wanted.addAll(seeds);
    network.setPeers(wanted.stream().map(BoxMesh::address).toList());
  }

  private void tell() {
    network.tellAll(
        MeshMessages.HEARTBEAT,
        new Heartbeat(
            leaving,
            deployments.revision(),
            upstreams.changedAt(),
            List.copyOf(peers.alive()),
            board.ownShares(),
            backlogs.get(),
            toCome.own()));
  }

  private void heard(String box, Heartbeat beat) {
    peers.heard(box, beat.leaving());
    board.setPeerShares(box, beat.shares());
    onBacklogs.accept(box, beat.backlogMillis());
    toCome.told(box, beat.piecesToCome());
    known.add(box);
    beat.boxes().stream().filter(other -> !other.equals(self)).forEach(known::add);
    if (beat.configuration() > deployments.revision()) {
      loop.schedule(
          () -> learnConfiguration(box, beat.configuration()),
          LEARN_DELAY_MILLIS,
          TimeUnit.MILLISECONDS);
    }
    if (beat.upstreams() > upstreams.revision()) {
      learnUpstreams(box);
    }
  }

  private void learnConfiguration(String box, long revision) {
    if (learningConfiguration || deployments.revision() >= revision) {
      return;
    }
    learningConfiguration = true;
    network
        .ask(
            box,
            MeshMessages.CONFIGURATION,
            new DocumentRequest(deployments.revision()),
            DocumentAnswer.class,
            ANSWER_LIMIT)
        .doFinally(signal -> loop.execute(() -> learningConfiguration = false))
        .subscribe(
            answer -> loop.execute(() -> deployments.offer(answer.document(), box)), failure -> {});
  }

  private void learnUpstreams(String box) {
    if (learningUpstreams) {
      return;
    }
    learningUpstreams = true;
    network
        .ask(
            box,
            MeshMessages.UPSTREAMS,
            new DocumentRequest(upstreams.revision()),
            UpstreamList.class,
            ANSWER_LIMIT)
        .doFinally(signal -> loop.execute(() -> learningUpstreams = false))
        .subscribe(
            list -> loop.execute(() -> upstreams.replaceAll(list.revision(), list.upstreams())),
            failure -> {});
  }

  private DocumentAnswer configuration() {
    return new DocumentAnswer(
        deployments.current().map(held -> held.document()).orElse(new byte[0]));
  }

  private UpstreamList upstreamList() {
    return new UpstreamList(upstreams.revision(), List.copyOf(upstreams.listed()));
  }

  private static Mono<StageGroupResult> work(BatchCoordinator coordinator, StageGroup group) {
    return Mono.create(
        sink -> {
          AtomicBoolean wanted = new AtomicBoolean(true);
          sink.onCancel(
              () -> {
                wanted.set(false);
                coordinator.cancel(group.service(), group.requestId());
              });
          coordinator.submit(group, result -> hand(coordinator, sink, wanted, result));
        });
  }

  private static void hand(
      BatchCoordinator coordinator,
      MonoSink<StageGroupResult> sink,
      AtomicBoolean wanted,
      StageGroupResult result) {
    if (wanted.get()) {
      sink.success(result);
    } else {
      coordinator.free(result.handles());
    }
  }

  private <T> Mono<T> onLoop(Supplier<Mono<T>> action) {
    return Mono.defer(action).subscribeOn(Schedulers.fromExecutor(loop));
  }

  private Mono<Void> done(Runnable action) {
    return Mono.fromRunnable(() -> loop.execute(action));
  }

  private static PeerAddress address(String box) {
    int colon = box.lastIndexOf(':');
    return new PeerAddress(
        box, 0, box.substring(0, colon), Integer.parseInt(box.substring(colon + 1)));
  }
}
