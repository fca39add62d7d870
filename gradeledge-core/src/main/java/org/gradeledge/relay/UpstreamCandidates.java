package org.gradeledge.relay;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.limit.SendLimiter;
import org.gradeledge.selection.Demand;

/** The upstreams that one request may still be sent to; each is tried once. */
final class UpstreamCandidates {

  /** Enough to see what is wrong with a service; a line stays short. */
  private static final int MAX_LOGGED_IDS = 8;

  private final RelayServices services;
  private final String service;
  private final RelayRequest request;
  private String preferredZone;
  private long preferredZoneBytes;
  private final Set<String> tried = new HashSet<>();
  private final Set<String> skipped = new LinkedHashSet<>();

  UpstreamCandidates(RelayServices services, String service, RelayRequest request) {
    this.services = services;
    this.service = service;
    this.request = request;
    this.preferredZone = services.zone();
  }

  /** Returns the zone of the upstream that would be tried now. */
  String likelyZone() {
    return services
        .chooser()
        .choose(services.upstreams().usable(service), demand())
        .map(UpstreamRecord::zone)
        .orElse(preferredZone);
  }

  /** Notes where what the request needs lies, in bytes by zone. */
  void setInputBytes(Map<String, Long> bytesByZone) {
    bytesByZone.entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .ifPresent(
            most -> {
              preferredZone = most.getKey();
              preferredZoneBytes = most.getValue();
            });
  }

  /** Returns the upstream to be tried next, empty where all have been. */
  Optional<UpstreamRecord> chooseNext() {
    List<UpstreamRecord> left = untried().filter(this::admitsRequest).toList();
    Optional<UpstreamRecord> chosen = services.chooser().choose(left, demand());
    chosen.ifPresent(upstream -> tried.add(upstream.incarnationId()));
    chosen.ifPresent(services.sendingRule()::recordSent);
    return chosen;
  }

  private boolean admitsRequest(UpstreamRecord upstream) {
    boolean admitted = services.sendingRule().admits(upstream);
    if (!admitted) {
      skipped.add(upstream.id());
    }
    return admitted;
  }

  /** Returns the ids of upstreams that were passed over so far, as they took no request then. */
  String skippedIds() {
    return skipped.isEmpty()
        ? ""
        : skipped.stream().limit(MAX_LOGGED_IDS).collect(Collectors.joining(","));
  }

  private Stream<UpstreamRecord> untried() {
    return services.upstreams().usable(service).stream()
        .filter(each -> !tried.contains(each.incarnationId()));
  }

  /**
   * Returns after about how many milliseconds one takes the request that so many others come
   * before, zero if one does now; infinite if this box may send to none of them, empty if there is
   * none left.
   */
  OptionalDouble millisUntilNext(long ahead) {
    SendLimiter sending = services.sendingRule();
    List<UpstreamRecord> left = untried().toList();
    double rate = left.stream().mapToDouble(sending::requestsPerSecond).sum();
    if (Double.isInfinite(rate)) {
      return OptionalDouble.of(0);
    }
    return left.stream()
        .mapToDouble(each -> sending.millisUntilAdmitted(each, ahead * shareOf(each, rate, left)))
        .min();
  }

  /** Returns after how many milliseconds one takes a request, those that were tried included. */
  OptionalDouble millisUntilAny() {
    return services.upstreams().usable(service).stream()
        .mapToDouble(each -> services.sendingRule().millisUntilAdmitted(each, 0))
        .min();
  }

  /** Where none takes any now, those that are before share the upstreams evenly later. */
  private double shareOf(UpstreamRecord upstream, double rate, List<UpstreamRecord> all) {
    return rate > 0 ? services.sendingRule().requestsPerSecond(upstream) / rate : 1.0 / all.size();
  }

  /** Returns why there is no candidate. */
  Refusal refusal() {
    if (services.upstreams().usable(service).isEmpty()) {
      return Refusal.NO_UPSTREAM;
    }
    return untried().findAny().isPresent() ? Refusal.UPSTREAMS_LIMITED : Refusal.UPSTREAMS_FULL;
  }

  /** Allows all upstreams again. */
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
