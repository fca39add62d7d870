package org.gradeledge.selection;

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
 * What the box knows of the load and health of all upstreams: its own requests, what its peers tell
 * of theirs, and how calls end. Confined to the event loop.
 *
 * @since 0.2
 */
public final class UpstreamLoads {

  private final MonotonicClock clock;
  private final EventLog events;
  private final Map<String, UpstreamLoad> byIncarnation = new HashMap<>();
  private final Map<String, Set<String>> reportedByBox = new HashMap<>();

  /** Creates a board that knows nothing. */
  public UpstreamLoads(MonotonicClock clock, EventLog events) {
    this.clock = clock;
    this.events = events;
  }

  /** Counts a request sent to an upstream. */
  public void recordStart(UpstreamRecord upstream, long tokens) {
    UpstreamLoad load = load(upstream.incarnationId());
    if (load.ownLoad().inFlight() == 0) {
      load.recordActivity(clock.nanos());
    }
    load.recordStart(tokens);
  }

  /** Counts the end of a request, however it ended. */
  public void recordEnd(UpstreamRecord upstream, long tokens) {
    load(upstream.incarnationId()).recordEnd(tokens);
  }

  /** Counts memory that results take at a start of an upstream, negative where it is given back. */
  public void adjustMemory(String start, long memory) {
    UpstreamLoad load = memory > 0 ? load(start) : byIncarnation.get(start);
    if (load != null) {
      load.adjustMemory(memory);
    }
  }

  /** Returns how many requests other boxes have under way at an upstream. */
  public int inFlightAtPeers(UpstreamRecord upstream) {
    return load(upstream.incarnationId()).inFlightAtPeers();
  }

  /** Returns how much memory other boxes take at an upstream. */
  public long memoryAtPeers(UpstreamRecord upstream) {
    return load(upstream.incarnationId()).memoryAtPeers();
  }

  /** Notes an answer in good order after so many milliseconds. */
  public void recordSuccess(UpstreamRecord upstream, double millis) {
    load(upstream.incarnationId()).recordSuccess(millis);
  }

  /**
   * Notes a failure.
   *
   * @param certain whether it alone says that the upstream cannot be used now
   */
  public void recordFailure(UpstreamRecord upstream, boolean certain, String why) {
    if (load(upstream.incarnationId()).recordFailure(certain, clock.nanos())) {
      events
          .change("upstream-avoided")
          .with("upstream", upstream.id())
          .with("service", upstream.service())
          .with("why", why)
          .write();
    }
  }

  /** Sends nothing to an upstream for a while, as it said that it is full. */
  public void avoidFor(UpstreamRecord upstream, long millis) {
    load(upstream.incarnationId()).avoidFor(millis, clock.nanos());
  }

  /** Notes that bytes came from an upstream. */
  public void recordActivity(UpstreamRecord upstream) {
    load(upstream.incarnationId()).recordActivity(clock.nanos());
  }

  /** Returns for how long an upstream has sent nothing while the box had requests there. */
  public long silentMillis(UpstreamRecord upstream) {
    return load(upstream.incarnationId()).silentMillis(clock.nanos());
  }

  /** Takes the place of what a peer told before. */
  public void setPeerLoads(String box, Map<String, BoxLoad> shares) {
    Set<String> before = reportedByBox.getOrDefault(box, Set.of());
    before.stream()
        .filter(id -> !shares.containsKey(id))
        .flatMap(id -> Optional.ofNullable(byIncarnation.get(id)).stream())
        .forEach(load -> load.removePeerLoad(box));
    shares.forEach((id, share) -> load(id).setPeerLoad(box, share));
    setReportedByBox(box, shares.keySet());
  }

  private void setReportedByBox(String box, Set<String> upstreams) {
    if (upstreams.isEmpty()) {
      reportedByBox.remove(box);
    } else {
      reportedByBox.put(box, Set.copyOf(upstreams));
    }
  }

  /** Returns what this box has under way, by upstream. */
  public Map<String, BoxLoad> ownLoads() {
    return byIncarnation.entrySet().stream()
        .filter(entry -> entry.getValue().ownLoad().isNonZero())
        .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().ownLoad()));
  }

  /** Forgets an upstream that has nothing under way. */
  public void remove(UpstreamRecord upstream) {
    UpstreamLoad load = byIncarnation.get(upstream.incarnationId());
    if (load != null && load.ownLoad().inFlight() == 0) {
      byIncarnation.remove(upstream.incarnationId());
    }
  }

  /** Returns those that are not avoided, or all if there are none. */
  public List<UpstreamRecord> preferred(List<UpstreamRecord> candidates) {
    List<UpstreamRecord> sound =
        candidates.stream()
            .filter(each -> !load(each.incarnationId()).isAvoided(clock.nanos()))
            .toList();
    return sound.isEmpty() ? candidates : sound;
  }

  UpstreamLoad load(String start) {
    return byIncarnation.computeIfAbsent(start, unknown -> new UpstreamLoad());
  }
}
