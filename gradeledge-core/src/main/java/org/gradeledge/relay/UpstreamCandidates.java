package org.gradeledge.relay;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.limit.SendLimiter;
import org.gradeledge.resumption.StreamOrigin;
import org.gradeledge.selection.Demand;

/** The upstreams that one request may be sent to; each is tried once. */
final class UpstreamCandidates {

  /** Keeps log lines short. */
  private static final int MAX_LOGGED_IDS = 8;

  private static final double LIGHT_LOAD = 0.5;

  private final RelayServices services;
  private final String service;
  private final RelayRequest request;
  private String preferredZone;
  private long preferredZoneBytes;
  private final Set<String> tried = new HashSet<>();
  private final Set<String> skipped = new LinkedHashSet<>();
  private Predicate<UpstreamRecord> eligible = upstream -> true;
  private String queueName;

  UpstreamCandidates(RelayServices services, String service, RelayRequest request) {
    this.services = services;
    this.service = service;
    this.request = request;
    this.preferredZone = services.zone();
    this.queueName = service;
  }

  /**
   * Restricts the candidates to the upstreams that can continue a stream.
   *
   * @param origin origin of the stream; if it is unknown, no upstream can
   */
  void restrictTo(Optional<StreamOrigin> origin) {
    eligible = upstream -> origin.filter(each -> each.matches(upstream)).isPresent();
    queueName = service + " " + origin.map(StreamOrigin::softwareVersion).orElse("");
  }

  /** Returns the name of the queue that requests with the same candidates wait in. */
  String queueName() {
    return queueName;
  }

  private List<UpstreamRecord> usable() {
    return services.upstreams().usable(service).stream().filter(eligible).toList();
  }

  /** Returns the availability zone of the upstream that would be chosen now. */
  String likelyZone() {
    return services
        .chooser()
        .choose(usable(), demand())
        .map(UpstreamRecord::zone)
        .orElse(preferredZone);
  }

  /**
   * Returns whether less than half of the places and of the memory of the upstreams are in use.
   *
   * @param memoryPerUpstream memory of one upstream, if it is limited
   */
  boolean areLightlyLoaded(Optional<Long> memoryPerUpstream) {
    return services.loads().usedShare(usable(), memoryPerUpstream) < LIGHT_LOAD;
  }

  /** Prefers the availability zone that stores most of the request's inputs. */
  void setInputBytes(Map<String, Long> bytesByZone) {
    bytesByZone.entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .ifPresent(
            largest -> {
              preferredZone = largest.getKey();
              preferredZoneBytes = largest.getValue();
            });
  }

  /** Chooses the next upstream; empty if none is left that accepts the request. */
  Optional<UpstreamRecord> chooseNext() {
    List<UpstreamRecord> untried = untried().filter(this::admitsRequest).toList();
    Optional<UpstreamRecord> chosen = services.chooser().choose(untried, demand());
    chosen.ifPresent(upstream -> tried.add(upstream.incarnationId()));
    chosen.ifPresent(services.sendLimiter()::recordSent);
    return chosen;
  }

  /** Returns whether an upstream is left that accepts the request. */
  boolean hasNext() {
    return untried().anyMatch(this::admitsRequest);
  }

  private boolean admitsRequest(UpstreamRecord upstream) {
    boolean admitted = services.sendLimiter().admits(upstream);
    if (!admitted) {
      skipped.add(upstream.id());
    }
    return admitted;
  }

  /** Returns the ids of upstreams that were skipped because they did not accept the request. */
  String skippedIds() {
    return skipped.isEmpty()
        ? ""
        : skipped.stream().limit(MAX_LOGGED_IDS).collect(Collectors.joining(","));
  }

  private Stream<UpstreamRecord> untried() {
    return usable().stream().filter(each -> !tried.contains(each.incarnationId()));
  }

  /**
   * Returns the estimated time until an upstream accepts the request, 0 if one does now; infinite
   * if this box may send to none of them, empty if none is left.
   *
   * @param ahead number of requests that are sent before this one
   */
  OptionalDouble millisUntilNext(long ahead) {
    SendLimiter sendLimiter = services.sendLimiter();
    List<UpstreamRecord> untried = untried().toList();
    double totalRate = untried.stream().mapToDouble(sendLimiter::requestsPerSecond).sum();
    if (Double.isInfinite(totalRate)) {
      return OptionalDouble.of(0);
    }
    return untried.stream()
        .mapToDouble(
            each ->
                sendLimiter.millisUntilAdmitted(each, ahead * shareOf(each, totalRate, untried)))
        .min();
  }

  /**
   * Returns the time until any upstream of the service accepts a request, including those that were
   * tried.
   */
  OptionalDouble millisUntilAny() {
    return usable().stream()
        .mapToDouble(each -> services.sendLimiter().millisUntilAdmitted(each, 0))
        .min();
  }

  /**
   * Returns the share of the requests ahead that an upstream accepts; equal shares if none accepts
   * any now.
   */
  private double shareOf(
      UpstreamRecord upstream, double totalRate, List<UpstreamRecord> candidates) {
    return totalRate > 0
        ? services.sendLimiter().requestsPerSecond(upstream) / totalRate
        : 1.0 / candidates.size();
  }

  /** Returns the reason why there is no candidate. */
  Refusal refusal() {
    if (services.upstreams().usable(service).isEmpty()) {
      return Refusal.NO_UPSTREAM;
    }
    if (usable().isEmpty()) {
      return Refusal.NO_UPSTREAM_OF_VERSION;
    }
    return untried().findAny().isPresent() ? Refusal.UPSTREAMS_LIMITED : Refusal.UPSTREAMS_FULL;
  }

  /** Allows all upstreams to be tried again. */
  void clearTried() {
    tried.clear();
  }

  private Demand demand() {
    return new Demand(
        request.sharedPartId(),
        request.sharedTokens(),
        request.maxTokens(),
        preferredZone,
        preferredZoneBytes);
  }
}
