package org.gradeledge.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.gradeledge.caller.CallerRoutes;
import org.gradeledge.http.HttpListener;
import org.gradeledge.membership.MemberRow;
import org.gradeledge.membership.MembershipService;
import org.gradeledge.membership.UnlistedMemberTracker;
import org.gradeledge.operator.OperatorRoutes;
import org.gradeledge.platform.BoxState;
import org.gradeledge.platform.ListedBox;
import org.gradeledge.settings.BoxSettings;
import org.gradeledge.settings.ListenSettings;
import org.gradeledge.synchronization.PeriodicTask;
import org.gradeledge.synchronization.PlatformReader;
import org.gradeledge.verdict.RefusalReason;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;

/**
 * One entry box: opens its ports, joins, serves, and stops without cutting a request.
 *
 * <p>It is ready once it is a member and has every accepted version in force. Thread-safe.
 *
 * @since 0.1
 */
public final class GradeledgeBox {

  private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(50);

  private final BoxSettings settings;
  private final BoxServices services;
  private final List<Disposable> tasks = new ArrayList<>();
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final Sinks.Empty<Void> stopped = Sinks.empty();
  private volatile @Nullable BoxPorts ports;
  private volatile @Nullable MemberRow memberRow;

  /** Creates a box; it opens nothing yet. */
  public GradeledgeBox(BoxSettings settings) {
    this.settings = settings;
    this.services = new BoxServices(settings);
  }

  /** Opens the ports and starts to join; the value tells the ports that were opened. */
  public Mono<BoxPorts> start() {
    return Mono.zip(openCaller(), openOperator(), openPeer())
        .map(opened -> new BoxPorts(opened.getT1(), opened.getT2(), opened.getT3()))
        .doOnNext(
            opened -> {
              ports = opened;
              Logger.info(
                  "listening: box={} caller={} operator={} peer={}",
                  settings.boxId(),
                  opened.callerPort(),
                  opened.operatorPort(),
                  opened.peerPort());
              startTasks();
            });
  }

  /** Returns whether the balancer is to send work here. */
  public boolean isReady() {
    return !stopping.get() && services.membership.isConfirmed();
  }

  /** Completes once the box has stopped. */
  public Mono<Void> whenStopped() {
    return stopped.asMono();
  }

  /**
   * Stops as planned: fails readiness and serves on for the balancer's lag, then refuses new work,
   * leaves the members and the list, and finishes everything in progress. Further calls do nothing.
   */
  public void drain() {
    if (!stopping.compareAndSet(false, true)) {
      return;
    }
    Logger.info("draining: box={}", settings.boxId());
    services.metrics.stateChange("draining");
    announce(BoxState.LEAVING)
        .onErrorComplete()
        .then(Mono.delay(services.timing.balancerLag()))
        .doOnNext(tick -> services.gate.close(RefusalReason.STOPPING))
        .then(Mono.defer(this::leave))
        .then(Mono.defer(this::finishWork))
        .publishOn(Schedulers.boundedElastic())
        .doFinally(signal -> close())
        .subscribe();
  }

  /** Closes everything at once, as a crash would; for tests and for the end of a planned stop. */
  public void close() {
    stopping.set(true);
    synchronized (tasks) {
      tasks.forEach(Disposable::dispose);
    }
    BoxPorts opened = ports;
    if (opened != null) {
      opened.close();
    }
    services.close();
    Logger.info("stopped: box={}", settings.boxId());
    stopped.tryEmitEmpty();
  }

  private void startTasks() {
    PlatformReader reader =
        new PlatformReader(
            services.table,
            services.boxList,
            services.membership,
            services.changes,
            services.peers,
            services.upstreams,
            new UnlistedMemberTracker(
                services.timing.membershipBound(), services.timing.poll(), services.clock),
            services.clock,
            this::join);
    start("table-read", services.timing.poll(), reader::readTable);
    start("list-read", services.timing.poll(), reader::readList);
    start(
        "heartbeat",
        services.timing.heartbeat(),
        () -> Mono.fromRunnable(services.heartbeats::sendAll));
    start("load-read", services.timing.poll(), services.loadReports::readAll);
  }

  private void start(String name, Duration period, Supplier<Mono<Void>> round) {
    synchronized (tasks) {
      tasks.add(PeriodicTask.start(name, period, services.metrics, round));
    }
  }

  /**
   * A read of the table showed that this box is not a member: it joins, for the first time or
   * again.
   */
  private Mono<Void> join() {
    if (stopping.get()) {
      return Mono.empty();
    }
    BoxPorts opened = Objects.requireNonNull(ports, "ports must be open");
    MemberRow row =
        new MemberRow(
            settings.boxId(),
            0,
            settings.availabilityZone(),
            settings.peer().listen().host(),
            opened.peerPort(),
            false);
    return new MembershipService(services.table)
        .join(row)
        .doOnNext(
            joined -> {
              memberRow = joined;
              services.membership.recordJoin(joined.incarnation());
              services.peers.setIncarnation(joined.incarnation());
            })
        .then(Mono.defer(() -> announce(BoxState.LIVE).onErrorComplete()));
  }

  private Mono<Void> announce(BoxState state) {
    BoxPorts opened = Objects.requireNonNull(ports, "ports must be open");
    String address = settings.caller().host() + ":" + opened.callerPort();
    return services.boxList.announce(new ListedBox(settings.boxId(), address, state));
  }

  private Mono<Void> leave() {
    MemberRow row = memberRow;
    Mono<Void> left = row == null ? Mono.empty() : new MembershipService(services.table).leave(row);
    return left.onErrorComplete()
        .then(services.boxList.withdraw(settings.boxId()).onErrorComplete());
  }

  private Mono<Void> finishWork() {
    return Mono.defer(
            () -> services.gate.inProgress() == 0 ? Mono.just(Boolean.TRUE) : Mono.<Boolean>empty())
        .repeatWhenEmpty(looks -> looks.delayElements(DRAIN_POLL_INTERVAL))
        .timeout(services.timing.drainBound())
        .onErrorComplete()
        .then();
  }

  private Mono<? extends DisposableServer> openCaller() {
    CallerRoutes routes =
        new CallerRoutes(
            services.requests,
            services.metrics,
            this::isReady,
            settings.limitsOrDefault().bodyBytes());
    return HttpListener.bind(settings.caller(), settings.limitsOrDefault(), routes::addTo);
  }

  private Mono<? extends DisposableServer> openOperator() {
    OperatorRoutes routes =
        new OperatorRoutes(
            settings.operators(),
            services.changes.coordinator(),
            services.audit,
            services.registry,
            services.membership,
            services.heartbeats,
            services.metrics,
            this::drain);
    return HttpListener.bind(settings.operator(), settings.limitsOrDefault(), routes::addTo);
  }

  private Mono<? extends DisposableServer> openPeer() {
    ListenSettings listen = settings.peer().listen();
    return services.peers.listen(new InetSocketAddress(listen.host(), listen.port()));
  }
}
