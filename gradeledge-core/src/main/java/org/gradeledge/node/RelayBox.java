package org.gradeledge.node;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.gradeledge.batch.BatchCoordinator;
import org.gradeledge.batch.PendingPieces;
import org.gradeledge.batch.StageWorkClient;
import org.gradeledge.connection.LivenessChecker;
import org.gradeledge.connection.PooledUpstreamCaller;
import org.gradeledge.deployment.Deployment;
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.deployment.ServiceDefinition;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLog;
import org.gradeledge.limit.SendLimiter;
import org.gradeledge.limit.UpstreamRateLimiter;
import org.gradeledge.mesh.BoxMesh;
import org.gradeledge.mesh.SharedBoxState;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.peer.PeerSecret;
import org.gradeledge.peer.PeerTransport;
import org.gradeledge.quarantine.Quarantine;
import org.gradeledge.relay.RelayHandler;
import org.gradeledge.relay.RelayMetrics;
import org.gradeledge.relay.RelayServer;
import org.gradeledge.relay.RelayServices;
import org.gradeledge.retry.RetryBudget;
import org.gradeledge.selection.LeastLoadedChooser;
import org.gradeledge.selection.PrefixAffinityChooser;
import org.gradeledge.selection.UpstreamChooser;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.ClockJump;
import org.gradeledge.time.MonotonicClock;
import org.gradeledge.time.SuspensionAwareClock;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/**
 * A box that relays requests to upstreams: everything of it runs on one event loop.
 *
 * @since 0.2
 */
public final class RelayBox {

  private static final int FEWEST_BOXES = 6;
  private static final double CONNECTION_SHARE = 0.9;
  private static final int FEWEST_CONNECTIONS = 3;
  private static final String VERDICT_DUTY = "write-verdicts";

  /** Boxes that write a verdict where the one that reached it is gone: one and a spare. */
  private static final int VERDICT_WRITERS = 2;

  private final RelaySettings settings;
  private final LoopResources loops;
  private final EventLoop loop;
  private final EventLog events;
  private final DeploymentRegistry deployments;
  private final UpstreamRegistry upstreams;
  private final PendingPieces toCome = new PendingPieces();
  private final BoxMesh mesh;
  private final RelayMetrics metrics = new RelayMetrics();
  private final BoxMetrics boxMetrics = new BoxMetrics();
  private final RelayHandler handler;
  private final RelayServer server;
  private final PlatformFollowers followers;
  private final BoxPages pages;
  private final PlannedStop stop;

  /** Puts the box together; it does not listen yet. */
  public RelayBox(
      RelaySettings settings, RelayAdapters adapters, LoopResources loops, EventLog events) {
    this.settings = settings;
    this.loops = loops;
    this.events = events;
    this.loop = loops.onClient(false).next();
    SuspensionAwareClock clock = SuspensionAwareClock.systemClock();
    this.deployments = new DeploymentRegistry(adapters.configurations(), events);
    this.upstreams = new UpstreamRegistry(events);
    UpstreamLoads board = new UpstreamLoads(clock, events);
    Quarantine quarantine = new Quarantine(clock);
    UpstreamSending sending = new UpstreamSending(clock, events, upstreams, this::service);
    this.mesh =
        newMesh(
            new SharedBoxState(deployments, upstreams, board, toCome, quarantine, sending.limits()),
            clock);
    VerdictKeeper verdicts = newVerdictKeeper(quarantine, adapters);
    this.followers = newFollowers(adapters, verdicts, clock);
    RetryBudget budget = newRetryBudget(clock);
    PooledUpstreamCaller caller = new PooledUpstreamCaller(loop, this::connectionLimit, clock);
    upstreams.onRetired(caller::retire);
    upstreams.onReplaced(caller::abort);
    sending.listen(caller, adapters.signals(), mesh);
    UpstreamRateLimiter limited = sending.limited(mesh);
    sending.show(metrics, limited);
    upstreams.onRetired(board::remove);
    BatchCoordinator coordinator =
        BatchCoordinator.builder()
            .box(peerName(settings), loop, clock)
            .upstreams(upstreams, service -> service(service).flatMap(ServiceDefinition::batch))
            .calls(caller, adapters.stages())
            .loadAndRetries(board, budget, events)
            .pendingPieces(toCome)
            .sendingRule(SendLimiter.allOf(limited, sending.backoffs()))
            .build();
    StageWorkClient stageWork = mesh.stageWorkClient(coordinator);
    RelayServices services =
        new RelayServices(
            settings.zone(),
            loop,
            clock,
            deployments,
            upstreams,
            board,
            newChooser(board),
            SendLimiter.allOf(sending.cold(this::boxes), limited, sending.backoffs()),
            budget,
            caller,
            new LivenessChecker(caller, upstreams::hasLeft),
            quarantine,
            verdicts,
            adapters.relay(),
            stageWork,
            metrics,
            events);
    this.handler = new RelayHandler(services);
    this.pages = new BoxPages(loops, metrics, boxMetrics);
    this.server = new RelayServer(handler, services, loops);
    clock.onJump(jump -> loop.execute(() -> clocksParted(jump, caller)));
    this.stop = new PlannedStop(settings.grace(), server, handler, mesh, loop, events);
  }

  /**
   * What timers would have done meanwhile is done now; peers that are silent go at the next beat.
   * Where it is not sure that time has passed, what costs little and does no harm is done.
   */
  private void clocksParted(ClockJump jump, PooledUpstreamCaller caller) {
    events
        .change(jump.isSuspension() ? "suspended" : "time-of-day-set")
        .with("ms", jump.wallClockShift().toMillis())
        .write();
    if (jump.isSuspension()) {
      metrics.suspended();
      handler.expireOverdue();
    }
    if (jump.mayBeSuspension()) {
      caller.closeIdle();
      followers.wokeUp();
    }
  }

  private UpstreamChooser newChooser(UpstreamLoads board) {
    return new PrefixAffinityChooser(
        board, new LeastLoadedChooser(board, new Random()), this::memoryTokens);
  }

  private VerdictKeeper newVerdictKeeper(Quarantine quarantine, RelayAdapters adapters) {
    return new VerdictKeeper(
        quarantine,
        adapters.verdictTable(),
        loop,
        System::currentTimeMillis,
        () -> mesh.isAssigned(VERDICT_DUTY, VERDICT_WRITERS),
        events);
  }

  private RetryBudget newRetryBudget(MonotonicClock clock) {
    return new RetryBudget(
        clock,
        settings.retryRatio(),
        settings.retryAllowance(),
        settings.retryWindow(),
        this::boxes);
  }

  private PlatformFollowers newFollowers(
      RelayAdapters adapters, VerdictKeeper verdicts, MonotonicClock clock) {
    return new PlatformFollowers(
        adapters,
        verdicts,
        settings.leavingBound(),
        mesh,
        deployments,
        upstreams,
        loop,
        clock,
        events,
        metrics::unreadableRow);
  }

  private BoxMesh newMesh(SharedBoxState beliefs, MonotonicClock clock) {
    PeerTransport transport =
        new PeerTransport(Optional.empty(), Optional.empty(), Optional.of(loops));
    PeerNetwork network =
        new PeerNetwork(
            peerName(settings), new PeerSecret(settings.peerSecret()), transport, boxMetrics);
    return new BoxMesh(
        peerName(settings),
        settings.zone(),
        settings.strength(),
        settings.seeds(),
        network,
        loop,
        beliefs,
        clock,
        events);
  }

  /** Starts to listen and to follow the platform. */
  public Mono<Void> start() {
    events
        .change("start")
        .with("zone", settings.zone())
        .with("caller", settings.caller().toString())
        .write();
    return server
        .listen(settings.caller())
        .then(pages.listenReady(settings.ready(), this::ready))
        .then(mesh.start(settings.peer()))
        .then(pages.listenMetrics(settings.metrics()))
        .then(Mono.fromRunnable(() -> loop.execute(followers::start)));
  }

  /** Stops as planned; returns once everything is done. Must not be called on the event loop. */
  public void stop() throws InterruptedException {
    CountDownLatch stopped = new CountDownLatch(1);
    loop.execute(() -> stop.start(stopped::countDown));
    stopped.await(settings.grace().toMillis(), TimeUnit.MILLISECONDS);
    events.change("stopped").with("active", server.activeRequests()).write();
    events.drain(200);
  }

  private boolean ready() {
    return deployments.current().isPresent() && upstreams.revision() >= 0 && !stop.hasBegun();
  }

  private int boxes() {
    return Math.max(FEWEST_BOXES, mesh.aliveCount());
  }

  private Optional<ServiceDefinition> service(String name) {
    return deployments.current().flatMap((Deployment held) -> held.service(name));
  }

  private int connectionLimit(UpstreamRecord upstream) {
    int most = service(upstream.service()).map(ServiceDefinition::maxConnections).orElse(boxes());
    return Math.max(FEWEST_CONNECTIONS, (int) (most * CONNECTION_SHARE / boxes()));
  }

  private long memoryTokens(UpstreamRecord upstream) {
    return service(upstream.service()).flatMap(ServiceDefinition::promptTokens).orElse(0L);
  }

  private static String peerName(RelaySettings settings) {
    return settings.peer().getAddress().getHostAddress() + ":" + settings.peer().getPort();
  }
}
