package org.gradeledge.node;

import io.netty.channel.ChannelOption;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import org.gradeledge.admission.AdmissionPolicy;
import org.gradeledge.audit.AuditTrail;
import org.gradeledge.change.ChangeService;
import org.gradeledge.claim.ClaimService;
import org.gradeledge.claim.GroupCommit;
import org.gradeledge.configuration.ConfigurationRegistry;
import org.gradeledge.configuration.PipelineVersion;
import org.gradeledge.connection.StatusLineVerifier;
import org.gradeledge.http.TlsContexts;
import org.gradeledge.membership.Membership;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.peer.PeerNetwork;
import org.gradeledge.peer.PeerSecret;
import org.gradeledge.peer.PeerTransport;
import org.gradeledge.platform.HttpBoxList;
import org.gradeledge.platform.HttpObjectStore;
import org.gradeledge.platform.HttpTableService;
import org.gradeledge.request.RequestLimits;
import org.gradeledge.request.RequestService;
import org.gradeledge.request.ServingGate;
import org.gradeledge.routing.Router;
import org.gradeledge.routing.RoutingPolicy;
import org.gradeledge.routing.UpstreamDirectory;
import org.gradeledge.settings.BoxSettings;
import org.gradeledge.settings.TimingSettings;
import org.gradeledge.synchronization.HeartbeatService;
import org.gradeledge.synchronization.LoadReportReader;
import org.gradeledge.time.MonotonicClock;
import org.gradeledge.upstream.HttpUpstreamProtocol;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Creates the components of a box from its settings without starting them. */
final class BoxServices {

  private static final int PLATFORM_CONNECTIONS = 16;
  private static final int UPSTREAM_CONNECTIONS = 512;
  private static final int UPSTREAM_CONNECT_MILLIS = 500;

  final BoxMetrics metrics = new BoxMetrics();
  final MonotonicClock clock = MonotonicClock.system();
  final TimingSettings timing;
  final HttpTableService table;
  final HttpBoxList boxList;
  final PeerNetwork peers;
  final Membership membership;
  final ConfigurationRegistry registry;
  final ChangeService changes;
  final UpstreamDirectory upstreams;
  final HeartbeatService heartbeats;
  final LoadReportReader loadReports;
  final ServingGate gate;
  final RequestService requests;
  final AuditTrail audit;
  final GroupCommit groupCommit;
  private final ConnectionProvider platformConnections;
  private final ConnectionProvider upstreamConnections;

  BoxServices(BoxSettings settings) {
    this.timing = settings.timingOrDefault();
    this.platformConnections = ConnectionProvider.create("platform", PLATFORM_CONNECTIONS);
    this.upstreamConnections =
        ConnectionProvider.builder("upstream").maxConnections(UPSTREAM_CONNECTIONS).build();
    HttpClient platformClient = withVerifiedStatusLines(HttpClient.create(platformConnections));
    var platform = settings.platform();
    this.table =
        new HttpTableService(platformClient, platform.table(), timing.platformCall(), metrics);
    HttpObjectStore objects =
        new HttpObjectStore(platformClient, platform.objects(), timing.platformCall(), metrics);
    this.boxList =
        new HttpBoxList(platformClient, platform.boxes(), timing.platformCall(), metrics);
    this.peers = peers(settings);
    this.membership = new Membership(settings.boxId(), timing.membershipBound(), clock, metrics);
    this.registry = new ConfigurationRegistry(clock, timing.doubtBound(), metrics);
    this.changes =
        ChangeService.builder()
            .platform(table, objects)
            .peers(peers)
            .membership(membership)
            .registry(registry)
            .metrics(metrics)
            .timing(timing)
            .clock(clock)
            .build();
    this.upstreams = new UpstreamDirectory(clock);
    this.heartbeats =
        new HeartbeatService(peers, membership, registry, changes.fetcher(), upstreams, clock);
    HttpUpstreamProtocol protocol =
        new HttpUpstreamProtocol(
            withVerifiedStatusLines(HttpClient.create(upstreamConnections))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, UPSTREAM_CONNECT_MILLIS)
                .disableRetry(true),
            settings.limitsOrDefault().answerBytes(),
            metrics,
            upstream -> upstreams.state(upstream).markLeaving());
    this.loadReports = new LoadReportReader(upstreams, protocol);
    this.gate = new ServingGate(membership::isConfirmed);
    this.groupCommit = new GroupCommit(table);
    RequestLimits limits =
        new RequestLimits(
            admission(settings), settings.limitsOrDefault().requestsPerAccount(), clock);
    this.requests =
        new RequestService(
            registry,
            gate,
            limits,
            new ClaimService(groupCommit, table, Clock.systemUTC()),
            new Router(upstreams, policy(settings).strategy(settings.availabilityZone())),
            protocol,
            metrics,
            clock);
    this.audit = new AuditTrail(table);
    registry.addListener(version -> applyVersion(version, limits));
    metrics.gauge("gradeledge_requests_in_progress", "Requests in progress", gate::inProgress);
  }

  void close() {
    groupCommit.close();
    peers.close();
    platformConnections.dispose();
    upstreamConnections.dispose();
  }

  private void applyVersion(PipelineVersion version, RequestLimits limits) {
    limits.update(version.file());
    upstreams.retain(
        registry.activeVersions().stream()
            .flatMap(each -> each.file().upstreams().stream())
            .toList());
  }

  private static HttpClient withVerifiedStatusLines(HttpClient client) {
    return client.doOnChannelInit(
        (observer, channel, remote) -> StatusLineVerifier.addTo(channel.pipeline()));
  }

  private static RoutingPolicy policy(BoxSettings settings) {
    return settings.routing().map(RoutingPolicy::ofWireName).orElse(RoutingPolicy.TWO_CHOICES);
  }

  private static AdmissionPolicy admission(BoxSettings settings) {
    return settings.admission().map(AdmissionPolicy::ofWireName).orElse(AdmissionPolicy.DEADLINE);
  }

  private PeerNetwork peers(BoxSettings settings) {
    var tls = settings.peer().listen().tls();
    PeerTransport transport = new PeerTransport(TlsContexts.server(tls), TlsContexts.client(tls));
    PeerSecret secret = new PeerSecret(readSecret(settings.peer().secretFile()));
    return new PeerNetwork(settings.boxId(), secret, transport, metrics);
  }

  private static String readSecret(Path file) {
    try {
      return Files.readString(file).strip();
    } catch (IOException e) {
      throw new UncheckedIOException("Cannot read the peer secret: " + file, e);
    }
  }
}
