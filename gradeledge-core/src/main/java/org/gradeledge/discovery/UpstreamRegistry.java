package org.gradeledge.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.gradeledge.event.EventLog;
import org.jspecify.annotations.Nullable;

/**
 * All upstreams that are known to the box. An upstream that has once been leaving takes no new work
 * again under the same id, whatever an older report says; one whose entry only lapsed may come
 * back.
 *
 * <p>Confined to the event loop.
 *
 * @since 0.2
 */
public final class UpstreamRegistry {

  private final UpstreamChangeLog changes;
  private final UpstreamListeners listeners = new UpstreamListeners();
  private final Map<String, UpstreamRecord> byId = new HashMap<>();
  private final UpstreamIndex index = new UpstreamIndex();
  private final DepartedUpstreams departed = new DepartedUpstreams();
  private final Set<String> lapsed = new HashSet<>();
  private final List<UpstreamRecord> endedNow = new ArrayList<>();
  private ZoneEvacuations evacuations = ZoneEvacuations.UNKNOWN;
  private boolean sourceAway;
  private long revision = -1;
  private long changedAt = -1;

  /** Creates an empty registry. */
  public UpstreamRegistry(EventLog events) {
    this.changes = new UpstreamChangeLog(events);
  }

  /** Tells a listener of each upstream that takes no new work any more. */
  public void onEnd(Consumer<UpstreamRecord> listener) {
    listeners.onEnd(listener);
  }

  /** Tells a listener whenever other zones than before take no new work. */
  public void onZonesChanged(Runnable listener) {
    listeners.onZonesChanged(listener);
  }

  /** Tells a listener of zones that take new work again. */
  public void onRestored(Consumer<Set<String>> listener) {
    listeners.onRestored(listener);
  }

  /** Tells a listener of each report that an upstream is cold. */
  public void onCold(Consumer<UpstreamRecord> listener) {
    listeners.onCold(listener);
  }

  /** Returns the zones that take no new work. */
  public ZoneEvacuations evacuations() {
    return evacuations;
  }

  /**
   * Takes on which zones take no new work, unless something newer is known. What their upstreams
   * work on goes on.
   *
   * @return whether the zones are others than before
   */
  public boolean evacuate(ZoneEvacuations told) {
    if (!told.isNewerThan(evacuations)) {
      return false;
    }
    Set<String> before = evacuations.zones();
    evacuations = told;
    if (told.zones().equals(before)) {
      return false;
    }
    rebuild();
    changes.writeZones(told, before);
    Set<String> restored = new HashSet<>(before);
    restored.removeAll(told.zones());
    listeners.tellZones(restored);
    return true;
  }

  /** Returns the revision of the list that the registry stands at, -1 at the start. */
  public long revision() {
    return revision;
  }

  /** Returns the revision at which the list last said something new, -1 at the start. */
  public long changedAt() {
    return changedAt;
  }

  /** Returns all upstreams that are known. */
  public Collection<UpstreamRecord> all() {
    return byId.values();
  }

  /** Returns the upstreams of some zones. */
  public List<UpstreamRecord> inZones(Set<String> zones) {
    return byId.values().stream().filter(upstream -> zones.contains(upstream.zone())).toList();
  }

  /** Returns the upstreams that the list names now, without those whose entry may have lapsed. */
  public Collection<UpstreamRecord> listed() {
    return byId.values().stream().filter(upstream -> !lapsed.contains(upstream.id())).toList();
  }

  /** Returns the upstreams of a service that take new work. */
  public List<UpstreamRecord> usable(String service) {
    return index.usable(service);
  }

  /** Returns whether new work may still be sent to an upstream. */
  public boolean isUsable(String id) {
    UpstreamRecord known = byId.get(id);
    return known != null && takesNewWork(known);
  }

  private boolean takesNewWork(UpstreamRecord upstream) {
    return !upstream.leaving() && !isEvacuated(upstream);
  }

  /**
   * Returns whether the zone of an upstream is evacuated, so that nothing new may be sent to it.
   */
  public boolean isEvacuated(UpstreamRecord upstream) {
    return evacuations.zones().contains(upstream.zone());
  }

  /** Returns the upstream that has an address. */
  public Optional<UpstreamRecord> atAddress(String address) {
    return index.atAddress(address);
  }

  /** Takes a whole list on where it is not older than what is held. */
  public void replaceAll(long newRevision, Collection<UpstreamRecord> records) {
    if (newRevision < revision) {
      return;
    }
    revision = newRevision;
    Set<String> listed = new HashSet<>();
    records.forEach(upstream -> listed.add(upstream.id()));
    byId.keySet().stream().filter(id -> !listed.contains(id)).toList().forEach(this::remove);
    records.forEach(this::put);
    conclude();
  }

  /** Takes changes on that lead to a revision. */
  public void update(long newRevision, Collection<UpstreamRecord> put, Collection<String> gone) {
    if (newRevision < revision) {
      return;
    }
    revision = newRevision;
    put.forEach(this::put);
    gone.forEach(this::remove);
    conclude();
  }

  /**
   * Notes that the list's source does not answer: an entry that vanishes from now on may only have
   * lapsed, as the upstream could not renew it, and stays in use until the list can be trusted.
   */
  public void distrustRemovals() {
    sourceAway = true;
  }

  /** Notes that the upstreams have had the time to renew their entries: what is missing is gone. */
  public void trustRemovals() {
    sourceAway = false;
    Set<String> missing = Set.copyOf(lapsed);
    lapsed.clear();
    missing.forEach(this::remove);
    conclude();
  }

  /** Notes that an upstream was seen to be gone, for instance since another has its address. */
  public void markGone(String id) {
    departed.remember(id);
    lapsed.remove(id);
    end(id);
    conclude();
  }

  /**
   * Notes that an upstream closes connections as one that leaves does. Others do so at times; one
   * whose entry has vanished as well is out of use until it renews that.
   */
  public void closesConnections(UpstreamRecord upstream) {
    if (lapsed.remove(upstream.id())) {
      log("upstream-closing", upstream);
      end(upstream.id());
      conclude();
    }
  }

  private void put(UpstreamRecord upstream) {
    UpstreamRecord before = byId.get(upstream.id());
    if (departed.contains(upstream.id()) && !upstream.leaving()) {
      return;
    }
    lapsed.remove(upstream.id());
    byId.put(upstream.id(), upstream);
    if (!upstream.equals(before) || isNewlyCold(upstream, before)) {
      changedAt = revision;
    }
    if (upstream.coldMillis() > 0) {
      listeners.tellCold(upstream);
    }
    if (before == null) {
      log("upstream-listed", upstream);
    }
    if (upstream.leaving() && (before == null || !before.leaving())) {
      departed.remember(upstream.id());
      end("upstream-leaving", upstream);
    }
  }

  private static boolean isNewlyCold(UpstreamRecord upstream, @Nullable UpstreamRecord before) {
    return upstream.coldMillis() > 0 && (before == null || before.coldMillis() == 0);
  }

  private void remove(String id) {
    UpstreamRecord known = byId.get(id);
    if (sourceAway && known != null && !known.leaving()) {
      lapse(known);
    } else {
      end(id);
    }
  }

  private void lapse(UpstreamRecord upstream) {
    if (lapsed.add(upstream.id())) {
      changedAt = revision;
      log("upstream-lapsed", upstream);
    }
  }

  private void end(String id) {
    UpstreamRecord before = byId.remove(id);
    if (before != null) {
      changedAt = revision;
    }
    if (before != null && !before.leaving()) {
      end("upstream-gone", before);
    }
  }

  private void end(String what, UpstreamRecord upstream) {
    log(what, upstream);
    endedNow.add(upstream);
  }

  /**
   * Ends a change. Listeners look for other upstreams at once, so that they must not be told before
   * those that have just ended are out of the index.
   */
  private void conclude() {
    rebuild();
    List<UpstreamRecord> ended = List.copyOf(endedNow);
    endedNow.clear();
    ended.forEach(listeners::tellEnd);
  }

  private void log(String what, UpstreamRecord upstream) {
    changes.write(what, upstream, revision);
  }

  private void rebuild() {
    index.rebuild(byId.values(), this::takesNewWork);
  }
}
