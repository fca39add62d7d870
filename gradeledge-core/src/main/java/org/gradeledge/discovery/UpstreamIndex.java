package org.gradeledge.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** Index of the upstreams for the lookups of each request. Confined to the event loop. */
final class UpstreamIndex {

  private final Map<String, List<UpstreamRecord>> usableByService = new HashMap<>();
  private final Map<String, UpstreamRecord> byAddress = new HashMap<>();

  /** Returns the upstreams of a service that accept new requests. */
  List<UpstreamRecord> usable(String service) {
    return usableByService.getOrDefault(service, List.of());
  }

  /** Returns the upstream that listens on an address. */
  Optional<UpstreamRecord> atAddress(String address) {
    return Optional.ofNullable(byAddress.get(address));
  }

  /** Replaces the contents of the index. */
  void rebuild(Collection<UpstreamRecord> upstreams, Predicate<UpstreamRecord> takesNewWork) {
    usableByService.clear();
    byAddress.clear();
    upstreams.forEach(upstream -> byAddress.put(upstream.address(), upstream));
    upstreams.stream().filter(takesNewWork).forEach(this::addUsable);
  }

  private void addUsable(UpstreamRecord upstream) {
    usableByService.computeIfAbsent(upstream.service(), service -> new ArrayList<>()).add(upstream);
  }
}
