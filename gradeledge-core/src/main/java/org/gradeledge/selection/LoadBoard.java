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
public final class LoadBoard {

  private final MonotonicClock clock;
  private final EventLog events;
  private final Map<String, UpstreamLoad> byStart = new HashMap<>();
  private final Map<String, Set<String>> toldByBox = new HashMap<>();

  /** Creates a board that knows nothing. */
  public LoadBoard(MonotonicClock clock, EventLog events) {
    this.clock = clock;
    this.events = events;
  }

  /** Counts a request sent to an upstream. */
  public void started(UpstreamRecord upstream, long tokens) {
    UpstreamLoad load = load(upstream.incarnationId());
    if (load.own().running() == 0) {
      load.heard(clock.nanos());
    }
    load.started(tokens);
  }

  /** Counts the end of a request, however it ended. */
  public void ended(UpstreamRecord upstream, long tokens) {
    load(upstream.incarnationId()).ended(tokens);
  }

  /** Counts memory that results take at a start of an upstream, negative where it is given back. */
  public void hold(String start, long memory) {
    UpstreamLoad load = memory > 0 ? load(start) : byStart.get(start);
    if (load != null) {
      load.hold(memory);
    }
  }

  /** Returns how many requests other boxes have under way at an upstream. */
  public int runningAtPeers(UpstreamRecord upstream) {
    return load(upstream.incarnationId()).peersRunning();
  }

  /** Returns how much memory other boxes take at an upstream. */
  public long memoryAtPeers(UpstreamRecord upstream) {
    return load(upstream.incarnationId()).peersTokens();
  }

  /** Notes an answer in good order after so many milliseconds. */
  public void succeeded(UpstreamRecord upstream, double millis) {
    load(upstream.incarnationId()).succeeded(millis);
  }

  /**
   * Notes a failure.
   *
   * @param certain whether it alone says that the upstream cannot be used now
   */
  public void failed(UpstreamRecord upstream, boolean certain, String why) {
    if (load(upstream.incarnationId()).failed(certain, clock.nanos())) {
      events
          .change("upstream-avoided")
          .with("upstream", upstream.id())
          .with("service", upstream.service())
          .with("why", why)
          .write();
    }
  }

  /** Sends nothing to an upstream for a while, as it said that it is full. */
  public void pause(UpstreamRecord upstream, long millis) {
    load(upstream.incarnationId()).avoidFor(millis, clock.nanos());
  }

  /** Notes that bytes came from an upstream. */
  public void heard(UpstreamRecord upstream) {
    load(upstream.incarnationId()).heard(clock.nanos());
  }

  /** Returns for how long an upstream has sent nothing while the box had requests there. */
  public long silentMillis(UpstreamRecord upstream) {
    return load(upstream.incarnationId()).silentMillis(clock.nanos());
  }

  /** Takes the place of what a peer told before. */
  public void setPeerShares(String box, Map<String, LoadShare> shares) {
    Set<String> before = toldByBox.getOrDefault(box, Set.of());
    before.stream()
        .filter(id -> !shares.containsKey(id))
        .flatMap(id -> Optional.ofNullable(byStart.get(id)).stream())
        .forEach(load -> load.dropShare(box));
    shares.forEach((id, share) -> load(id).setShare(box, share));
    noteTold(box, shares.keySet());
  }

  private void noteTold(String box, Set<String> upstreams) {
    if (upstreams.isEmpty()) {
      toldByBox.remove(box);
    } else {
      toldByBox.put(box, Set.copyOf(upstreams));
    }
  }

  /** Returns what this box has under way, by upstream. */
  public Map<String, LoadShare> ownShares() {
    return byStart.entrySet().stream()
        .filter(entry -> entry.getValue().own().isSomething())
        .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().own()));
  }

  /** Forgets an upstream that has nothing under way. */
  public void forget(UpstreamRecord upstream) {
    UpstreamLoad load = byStart.get(upstream.incarnationId());
    if (load != null && load.own().running() == 0) {
      byStart.remove(upstream.incarnationId());
    }
  }

  /** Returns those that are not avoided, or all if there are none. */
  public List<UpstreamRecord> preferred(List<UpstreamRecord> candidates) {
    List<UpstreamRecord> sound =
        candidates.stream()
            .filter(each -> !load(each.incarnationId()).avoided(clock.nanos()))
            .toList();
    return sound.isEmpty() ? candidates : sound;
  }

  UpstreamLoad load(String start) {
    return byStart.computeIfAbsent(start, unknown -> new UpstreamLoad());
  }
}
