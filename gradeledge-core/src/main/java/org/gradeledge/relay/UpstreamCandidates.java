package org.gradeledge.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.selection.Demand;

/** The upstreams that one request may still be sent to; each is tried once. */
final class UpstreamCandidates {

  private final RelayServices services;
  private final String service;
  private final Demand demand;
  private final Set<String> tried = new HashSet<>();

  UpstreamCandidates(RelayServices services, String service, RelayRequest request) {
    this.services = services;
    this.service = service;
    this.demand = new Demand(request.sharedPart(), request.tokens(), services.zone());
  }

  /** Returns the upstream to be tried next, empty where all have been. */
  Optional<UpstreamRecord> next() {
    List<UpstreamRecord> left =
        services.upstreams().usable(service).stream()
            .filter(each -> !tried.contains(each.id()))
            .toList();
    Optional<UpstreamRecord> chosen = services.chooser().choose(left, demand);
    chosen.ifPresent(upstream -> tried.add(upstream.id()));
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
}
