package org.gradeledge.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.selection.Demand;

/** The upstreams that one request may still be sent to; each is tried once. */
final class UpstreamCandidates {

  private final RelayServices services;
  private final String service;
  private final RelayRequest request;
  private String zone;
  private long zoneBytes;
  private final Set<String> tried = new HashSet<>();

  UpstreamCandidates(RelayServices services, String service, RelayRequest request) {
    this.services = services;
    this.service = service;
    this.request = request;
    this.zone = services.zone();
  }

  /** Returns the zone of the upstream that would be tried now. */
  String likelyZone() {
    return services
        .chooser()
        .choose(services.upstreams().usable(service), demand())
        .map(UpstreamRecord::zone)
        .orElse(zone);
  }

  /** Notes where what the request needs lies, in bytes by zone. */
  void setInputs(Map<String, Long> bytesByZone) {
    bytesByZone.entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .ifPresent(
            most -> {
              zone = most.getKey();
              zoneBytes = most.getValue();
            });
  }

  /** Returns the upstream to be tried next, empty where all have been. */
  Optional<UpstreamRecord> next() {
    List<UpstreamRecord> left =
        services.upstreams().usable(service).stream()
            .filter(each -> !tried.contains(each.start()))
            .filter(services.cold()::admits)
            .toList();
    Optional<UpstreamRecord> chosen = services.chooser().choose(left, demand());
    chosen.ifPresent(upstream -> tried.add(upstream.start()));
    chosen.ifPresent(services.cold()::sent);
    return chosen;
  }

  /** Returns why there is no candidate. */
  Refusal whyNone() {
    boolean none = services.upstreams().usable(service).isEmpty();
    return none ? Refusal.NO_UPSTREAM : Refusal.UPSTREAMS_FULL;
  }

  /** Allows all upstreams again. */
  void reset() {
    tried.clear();
  }

  private Demand demand() {
    return new Demand(
        request.sharedPart(), request.sharedTokens(), request.tokens(), zone, zoneBytes);
  }
}
