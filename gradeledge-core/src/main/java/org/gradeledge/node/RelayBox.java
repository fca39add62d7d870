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
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.deployment.ServiceDefinition;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLog;
import org.gradeledge.inspection.RunInspector;
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
import org.gradeledge.resumption.StreamOriginDirectory;
import org.gradeledge.resumption.StreamOrigins;
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
 * A box that relays requests to upstreams on a single event loop.
 *
 * @since 0.2
 */
public final class RelayBox {

  private static final int MIN_BOX_COUNT = 6;
  private static final String VERDICT_WRITER_ROLE = "write-verdicts";

  /** Boxes that write a verdict if the box that reached it is lost. */
  private static final int VERDICT_WRITER_COUNT = 2;

  private final RelaySettings settings;
  private final LoopResources loops;
  private final EventLoop loop;
  private final EventLog events;
  private final DeploymentRegistry deployments;
  private final DeployedServices deployedServices;
  private final UpstreamRegistry upstreams;
  private final PendingPieces pieces = new PendingPieces();
  private final BoxMesh mesh;
  private final RelayMetrics metrics = new RelayMetrics();
  private final BoxMetrics boxMetrics = new BoxMetrics();
  private final RelayHandler handler;
  private final RelayServer server;
  private final PlatformFollowers followers;
  private final UpstreamConnectivity connectivity;
  private final MonitoringEndpoints endpoints;
  private final GracefulShutdown stop;

  /** Creates the box without starting it. */
  public RelayBox(
      RelaySettings settings, RelayAdapters adapters, LoopResources loops, EventLog events) {
    this.settings = settings;
    this.loops = loops;
    this.events = events;
    this.loop = loops.onClient(false).next();
    SuspensionAwareClock clock = SuspensionAwareClock.systemClock();
    this.deployments = new DeploymentRegistry(adapters.deploymentReader(), events);
    this.deployedServices = new DeployedServices(deployments, this::boxCount);
    this.upstreams = new UpstreamRegistry(events);
    UpstreamLoads load = new UpstreamLoads(clock, events);
    Quarantine quarantine = new Quarantine(clock);
    SendLimiters limiters = new SendLimiters(clock, events, upstreams, deployedServices::find);
    this.mesh =
        newMesh(
            new SharedBoxState(deployments, upstreams, load, pieces, quarantine, limiters.limits()),
            clock);
    QuarantineVerdictStore verdicts = newVerdictStore(quarantine, adapters);
    this.followers = newFollowers(adapters, verdicts, clock);
    RetryBudget budget = newRetryBudget(clock);
    this.connectivity =
        new UpstreamConnectivity(
            loop, clock, events, upstreams, mesh, deployedServices::connectionLimit);
    PooledUpstreamCaller caller = connectivity.caller();
    connectivity.registerMetrics(metrics);
    limiters.handleSignals(caller, adapters.signalReader(), mesh);
    UpstreamRateLimiter rateLimiter = limiters.rateLimit(mesh);
    limiters.registerMetrics(metrics, rateLimiter);
    upstreams.onRetired(load::remove);
    SendLimiter callLimiter = SendLimiter.allOf(rateLimiter, limiters.backoffs());
    BatchCoordinator coordinator = newCoordinator(clock, adapters, load, budget, callLimiter);
    StageWorkClient stageWork = mesh.stageWorkClient(coordinator);
    RelayServices services =
        new RelayServices(
            settings.zone(),
            loop,
            clock,
            deployments,
            upstreams,
            load,
            newChooser(load),
            SendLimiter.allOf(limiters.coldStart(this::boxCount), callLimiter),
            budget,
            caller,
            new RunInspector(caller, adapters.runReportProtocol(), callLimiter, loop, events),
            new LivenessChecker(caller, upstreams::hasLeft),
            quarantine,
            verdicts,
            newStreamOrigins(adapters, clock),
            adapters.relayProtocol(),
            stageWork,
            metrics,
            events);
    this.handler = new RelayHandler(services);
    this.endpoints = new MonitoringEndpoints(loops, metrics, boxMetrics);
    this.server = new RelayServer(handler, services, loops);
    clock.onJump(jump -> loop.execute(() -> onClockJump(jump, caller)));
    this.stop =
        new GracefulShutdown(
            settings.gracePeriod(), server, handler, mesh, connectivity, loop, clock, events);
  }

  /**
   * Handles overdue timers and stale connections after a suspension of the machine. Where a
   * suspension is only possible, closes idle connections and reads the tables again.
   */
  private void onClockJump(ClockJump jump, PooledUpstreamCaller caller) {
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
      followers.readAllAgain();
    }
  }

  private BatchCoordinator newCoordinator(
      MonotonicClock clock,
      RelayAdapters adapters,
      UpstreamLoads load,
      RetryBudget budget,
      SendLimiter sendLimiter) {
    return BatchCoordinator.builder()
        .box(peerName(settings), loop, clock)
        .upstreams(
            upstreams, name -> deployedServices.find(name).flatMap(ServiceDefinition::batchLimits))
        .calls(connectivity.caller(), adapters.stageProtocol())
        .loadAndRetries(load, budget, events)
        .pendingPieces(pieces)
        .meter(metrics)
        .sendLimiter(sendLimiter)
        .build();
  }

  private UpstreamChooser newChooser(UpstreamLoads loads) {
    return new PrefixAffinityChooser(
        loads, new LeastLoadedChooser(loads, new Random()), deployedServices::kvCacheTokens);
  }

  private StreamOriginDirectory newStreamOrigins(RelayAdapters adapters, MonotonicClock clock) {
    StreamOrigins origins = new StreamOrigins(clock);
    metrics.registerStreamOrigins(origins::size, origins::evictedCount);
    StreamOriginArchive archive =
        new StreamOriginArchive(peerName(settings), adapters.originTable(), loop, clock, events);
    return new StreamOriginDirectory(
        origins, mesh.originReplicas(origins), mesh.originArchive(archive));
  }

  private QuarantineVerdictStore newVerdictStore(Quarantine quarantine, RelayAdapters adapters) {
    return new QuarantineVerdictStore(
        quarantine,
        adapters.verdictTable(),
        loop,
        System::currentTimeMillis,
        () -> mesh.isAssigned(VERDICT_WRITER_ROLE, VERDICT_WRITER_COUNT),
        events);
  }

  private RetryBudget newRetryBudget(MonotonicClock clock) {
    return new RetryBudget(
        clock,
        settings.retryRatio(),
        settings.retryAllowance(),
        settings.retryWindow(),
        this::boxCount);
  }

  private PlatformFollowers newFollowers(
      RelayAdapters adapters, QuarantineVerdictStore verdictStore, MonotonicClock clock) {
    return new PlatformFollowers(
        adapters,
        verdictStore,
        settings.maxLeavingDelay(),
        mesh,
        deployments,
        upstreams,
        loop,
        clock,
        events,
        metrics::unreadableRow);
  }

  private BoxMesh newMesh(SharedBoxState state, MonotonicClock clock) {
    PeerTransport transport =
        new PeerTransport(Optional.empty(), Optional.empty(), Optional.of(loops));
    PeerNetwork network =
        new PeerNetwork(
            peerName(settings), new PeerSecret(settings.peerSecret()), transport, boxMetrics);
    return new BoxMesh(
        peerName(settings),
        settings.zone(),
        settings.weight(),
        settings.seeds(),
        network,
        loop,
        state,
        clock,
        events);
  }

  /** Starts listening and following the tables of the platform. */
  public Mono<Void> start() {
    events
        .change("start")
        .with("zone", settings.zone())
        .with("caller", settings.callerAddress().toString())
        .write();
    return server
        .listen(settings.callerAddress())
        .then(endpoints.bindReadiness(settings.readinessAddress(), this::isReady))
        .then(connectivity.listen(settings.tunnelAddress()))
        .then(mesh.start(settings.peerAddress()))
        .then(endpoints.bindMetrics(settings.metricsAddress()))
        .then(Mono.fromRunnable(() -> loop.execute(followers::start)));
  }

  /** Shuts down gracefully and returns once done. Must not be called on the event loop. */
  public void stop() throws InterruptedException {
    CountDownLatch stopped = new CountDownLatch(1);
    loop.execute(() -> stop.start(stopped::countDown));
    stopped.await(settings.gracePeriod().toMillis(), TimeUnit.MILLISECONDS);
    events.change("stopped").with("active", server.activeRequests()).write();
    events.drain(200);
  }

  private boolean isReady() {
    return deployments.current().isPresent() && upstreams.revision() >= 0 && !stop.isStarted();
  }

  private int boxCount() {
    return Math.max(MIN_BOX_COUNT, mesh.aliveCount());
  }

  private static String peerName(RelaySettings settings) {
    return settings.peerAddress().getAddress().getHostAddress()
        + ":"
        + settings.peerAddress().getPort();
  }
}
