package org.gradeledge.selection;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.event.EventLog;
import org.gradeledge.time.MonotonicClock;

/**
 * Load and health of all upstreams: requests of this box, loads reported by its peers, and results
 * of calls. Confined to the event loop.
 *
 * @since 0.2
 */
public final class UpstreamLoads {

  private final MonotonicClock clock;
  private final EventLog events;
  private final Map<String, UpstreamLoad> byIncarnation = new HashMap<>();
  private final Map<String, Set<String>> reportedByBox = new HashMap<>();

  /** Creates an instance without loads. */
  public UpstreamLoads(MonotonicClock clock, EventLog events) {
    this.clock = clock;
    this.events = events;
  }

  /** Records a request sent to an upstream. */
  public void recordStart(UpstreamRecord upstream, long memory) {
    load(upstream.incarnationId()).recordStart(memory);
  }

  /** Records the end of a request, whatever its result. */
  public void recordEnd(UpstreamRecord upstream, long memory) {
    load(upstream.incarnationId()).recordEnd(memory);
  }

  /** Adds memory that results occupy at an incarnation of an upstream; negative to release it. */
  public void adjustMemory(String incarnationId, long memory) {
    UpstreamLoad load = memory > 0 ? load(incarnationId) : byIncarnation.get(incarnationId);
    if (load != null) {
      load.adjustMemory(memory);
    }
  }

  /** Returns the number of requests that other boxes have in flight at an upstream. */
  public int inFlightAtPeers(UpstreamRecord upstream) {
    return load(upstream.incarnationId()).inFlightAtPeers();
  }

  /** Returns the memory that other boxes use at an upstream. */
  public long memoryAtPeers(UpstreamRecord upstream) {
    return load(upstream.incarnationId()).memoryAtPeers();
  }

  /** Records a successful call and its latency in milliseconds. */
  public void recordSuccess(UpstreamRecord upstream, double millis) {
    load(upstream.incarnationId()).recordSuccess(millis);
  }

  /**
   * Records a failed call.
   *
   * @param certain whether this failure alone shows that the upstream is unavailable
   */
  public void recordFailure(UpstreamRecord upstream, boolean certain, String reason) {
    if (load(upstream.incarnationId()).recordFailure(certain, clock.nanos())) {
      events
          .change("upstream-avoided")
          .with("upstream", upstream.id())
          .with("service", upstream.service())
          .with("why", reason)
          .write();
    }
  }

  /** Avoids an upstream for some time after it reported that it is full. */
  public void avoidFor(UpstreamRecord upstream, long millis) {
    load(upstream.incarnationId()).avoidFor(millis, clock.nanos());
  }

  /** Replaces the loads reported by a peer. */
  public void setPeerLoads(String box, Map<String, BoxLoad> loads) {
    Set<String> previous = reportedByBox.getOrDefault(box, Set.of());
    previous.stream()
        .filter(incarnationId -> !loads.containsKey(incarnationId))
        .flatMap(incarnationId -> Optional.ofNullable(byIncarnation.get(incarnationId)).stream())
        .forEach(load -> load.removePeerLoad(box));
    loads.forEach((incarnationId, load) -> load(incarnationId).setPeerLoad(box, load));
    setReportedByBox(box, loads.keySet());
  }

  private void setReportedByBox(String box, Set<String> incarnationIds) {
    if (incarnationIds.isEmpty()) {
      reportedByBox.remove(box);
    } else {
      reportedByBox.put(box, Set.copyOf(incarnationIds));
    }
  }

  /** Returns the loads of this box by incarnation. */
  public Map<String, BoxLoad> ownLoads() {
    return byIncarnation.entrySet().stream()
        .filter(entry -> entry.getValue().ownLoad().isNonZero())
        .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().ownLoad()));
  }

  /**
   * Returns the share of the places of all given upstreams, or of their memory if that is more,
   * that requests of all boxes use; 1 if there are no upstreams.
   *
   * @param memoryPerUpstream memory of one upstream, if it is limited
   */
  public double usedShare(Collection<UpstreamRecord> upstreams, Optional<Long> memoryPerUpstream) {
    long places = 0;
    long requests = 0;
    long memory = 0;
    for (UpstreamRecord upstream : upstreams) {
      UpstreamLoad load = load(upstream.incarnationId());
      places += upstream.slots();
      requests += load.totalInFlight();
      memory += load.totalMemory();
    }
    double ofPlaces = places == 0 ? 1 : (double) requests / places;
    long usableMemory = memoryPerUpstream.orElse(0L) * upstreams.size();
    double ofMemory = usableMemory == 0 ? 0 : (double) memory / usableMemory;
    return Math.max(ofPlaces, ofMemory);
  }

  /** Removes an upstream without requests in flight. */
  public void remove(UpstreamRecord upstream) {
    UpstreamLoad load = byIncarnation.get(upstream.incarnationId());
    if (load != null && load.ownLoad().inFlight() == 0) {
      byIncarnation.remove(upstream.incarnationId());
    }
  }

  /** Returns the candidates that are not avoided, or all if there are none. */
  public List<UpstreamRecord> preferred(List<UpstreamRecord> candidates) {
    List<UpstreamRecord> available =
        candidates.stream()
            .filter(each -> !load(each.incarnationId()).isAvoided(clock.nanos()))
            .toList();
    return available.isEmpty() ? candidates : available;
  }

  UpstreamLoad load(String incarnationId) {
    return byIncarnation.computeIfAbsent(incarnationId, key -> new UpstreamLoad(clock));
  }
}
