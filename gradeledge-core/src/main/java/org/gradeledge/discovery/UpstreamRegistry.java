package org.gradeledge.discovery;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.gradeledge.event.EventLog;

/**
 * Registry of all upstreams known to the box, with the latest incarnation for each id. An
 * incarnation that has announced that it leaves never accepts new requests again, even if an
 * outdated entry says so; one whose entry only lapsed may return. A later incarnation with the same
 * id retires the previous one, and reports about the previous one are ignored from then on.
 *
 * <p>Confined to the event loop.
 *
 * @since 0.2
 */
public final class UpstreamRegistry {

  private final EvacuatedZones evacuated;
  private final UpstreamListeners listeners;
  private final KnownUpstreams known;
  private final UpstreamIndex index = new UpstreamIndex();
  private Runnable onLeavingAnnounced = () -> {};
  private Supplier<ListTrust> trustSupplier = () -> ListTrust.UNKNOWN;

  /** Creates an empty registry. */
  public UpstreamRegistry(EventLog events) {
    UpstreamChangeLog changes = new UpstreamChangeLog(events);
    this.evacuated = new EvacuatedZones(changes);
    this.listeners = new UpstreamListeners(changes);
    this.known = new KnownUpstreams(changes);
  }

  /** Registers a listener for upstreams that accept no new requests any more. */
  public void onRetired(Consumer<UpstreamRecord> listener) {
    listeners.onRetired(listener);
  }

  /** Registers a listener for incarnations that were replaced by a later one with the same id. */
  public void onReplaced(Consumer<UpstreamRecord> listener) {
    listeners.onReplaced(listener);
  }

  /** Registers a listener for changes of the set of evacuated zones. */
  public void onZonesChanged(Runnable listener) {
    listeners.onZonesChanged(listener);
  }

  /** Registers a listener for zones that accept new requests again. */
  public void onRestored(Consumer<Set<String>> listener) {
    listeners.onRestored(listener);
  }

  /** Registers a listener for reports that an upstream is cold. */
  public void onCold(Consumer<UpstreamRecord> listener) {
    listeners.onCold(listener);
  }

  /** Returns the zones that accept no new requests. */
  public ZoneEvacuations evacuations() {
    return evacuated.current();
  }

  /**
   * Applies an evacuation order if it is newer than the current one. Requests in flight in the
   * evacuated zones continue.
   *
   * @return whether the set of evacuated zones has changed
   */
  public boolean applyEvacuations(ZoneEvacuations order) {
    Optional<Set<String>> restored = evacuated.update(order);
    restored.ifPresent(
        zones -> {
          rebuild();
          listeners.notifyZonesChanged(zones);
        });
    return restored.isPresent();
  }

  /** Returns the revision of the list that has been applied, -1 initially. */
  public long revision() {
    return known.revision();
  }

  /** Returns the revision of the last update that changed an entry, -1 initially. */
  public long changedAt() {
    return known.changedAt();
  }

  /** Returns all known upstreams. */
  public Collection<UpstreamRecord> all() {
    return known.all();
  }

  /** Returns the upstreams of the given zones. */
  public List<UpstreamRecord> inZones(Set<String> zones) {
    return known.all().stream().filter(upstream -> zones.contains(upstream.zone())).toList();
  }

  /** Returns the upstreams in the list, without those whose entry may have lapsed. */
  public Collection<UpstreamRecord> listed() {
    return known.all().stream().filter(upstream -> !known.isLapsed(upstream)).toList();
  }

  /** Returns the upstreams of a service that accept new requests. */
  public List<UpstreamRecord> usable(String service) {
    return index.usable(service);
  }

  /** Returns whether an incarnation is leaving or no longer listed. */
  public boolean hasLeft(UpstreamRecord upstream) {
    return known.find(upstream).map(UpstreamRecord::leaving).orElse(true);
  }

  /** Returns whether an upstream accepts new requests. */
  public boolean isUsable(UpstreamRecord upstream) {
    return known.find(upstream).filter(this::acceptsNewRequests).isPresent();
  }

  private boolean acceptsNewRequests(UpstreamRecord upstream) {
    return !upstream.leaving() && !isEvacuated(upstream);
  }

  /** Returns whether the zone of an upstream is evacuated. */
  public boolean isEvacuated(UpstreamRecord upstream) {
    return evacuated.contains(upstream);
  }

  /** Returns the upstream that listens on an address. */
  public Optional<UpstreamRecord> atAddress(String address) {
    return index.atAddress(address);
  }

  /** Replaces the list, unless the given one is older. */
  public void replaceAll(long newRevision, Collection<UpstreamRecord> records) {
    if (newRevision >= known.revision()) {
      known.beginUpdate(newRevision);
      known.retain(records.stream().map(UpstreamRecord::id).collect(Collectors.toSet()));
      records.forEach(known::putFromSnapshot);
      publishChanges();
    }
  }

  /** Applies changes that lead to a revision. */
  public void update(
      long newRevision, Collection<UpstreamRecord> put, Collection<String> removedIds) {
    if (newRevision >= known.revision()) {
      known.beginUpdate(newRevision);
      put.forEach(known::put);
      removedIds.forEach(known::remove);
      publishChanges();
    }
  }

  /**
   * Records that the source of the list does not respond. Entries that are removed from now on may
   * only have lapsed, as their upstreams could not renew them, and stay in use until removals are
   * trusted.
   */
  public void distrustRemovals() {
    known.distrustRemovals();
  }

  /**
   * Records that the source of the list was restored from a backup. Entries of removed upstreams
   * may have reappeared and are not used until they are rewritten or removals are trusted.
   */
  public void distrustReappearedEntries() {
    known.distrustReappearedEntries();
  }

  /**
   * Records that a peer has detected an outage of the list's source. This box may have missed it,
   * as it reads rarely, and its next update may lack entries that only lapsed.
   */
  public void distrustRemovalsReportedByPeer() {
    known.distrustRemovalsReportedByPeer();
  }

  /** Returns how far this box trusts that missing upstreams are gone. */
  public ListTrust listTrust() {
    return known.hasDetectedOutage() ? ListTrust.DOUBTED : trustSupplier.get();
  }

  /**
   * Returns whether removed entries may only have lapsed, as detected here or reported by a peer.
   */
  public boolean areRemovalsUntrusted() {
    return known.areRemovalsUntrusted();
  }

  /** Sets the source of the trust that this box has in its reads of the list. */
  public void setTrustSupplier(Supplier<ListTrust> supplier) {
    trustSupplier = supplier;
  }

  /** Records that all upstreams had time to renew their entries, so that missing ones are gone. */
  public void trustRemovals() {
    known.trustRemovals();
    publishChanges();
  }

  /** Records that an upstream is gone, for instance because another one has its address. */
  public void markGone(UpstreamRecord upstream) {
    known.markGone(upstream);
    publishChanges();
  }

  /**
   * Records that an upstream has announced in a response that it leaves: this incarnation accepts
   * no new requests any more, whatever its list entry says.
   */
  public void recordLeavingAnnouncement(UpstreamRecord upstream) {
    if (known.recordLeavingAnnouncement(upstream)) {
      publishChanges();
      onLeavingAnnounced.run();
    }
  }

  /** Sets the action to run after an upstream in use has announced to this box that it leaves. */
  public void onLeavingAnnounced(Runnable action) {
    onLeavingAnnounced = action;
  }

  /**
   * Applies announcements that a peer has received from leaving upstreams; returns whether any of
   * them changed an upstream.
   */
  public boolean applyPeerLeavingAnnouncements(String peer, Collection<String> incarnationIds) {
    boolean changed =
        !incarnationIds.isEmpty() && known.applyPeerLeavingAnnouncements(peer, incarnationIds);
    if (changed) {
      publishChanges();
    }
    return changed;
  }

  /**
   * Returns the incarnations that have announced to this box that they leave, as long as they are
   * listed and not marked as leaving in the list.
   */
  public List<String> announcedLeaving() {
    return known.announcedLeaving();
  }

  /**
   * Records that an upstream closes connections, as a leaving one does. Others may do so too; only
   * one whose entry has lapsed is taken out of use, until it renews the entry.
   */
  public void recordConnectionClose(UpstreamRecord upstream) {
    if (known.isLapsed(upstream)) {
      known.removeIfLapsed(upstream);
      publishChanges();
    }
  }

  /**
   * Completes an update. The index is rebuilt before listeners are notified, as they select other
   * upstreams immediately.
   */
  private void publishChanges() {
    rebuild();
    known.notifications().takeCold().forEach(listeners::notifyCold);
    known.notifications().takeRetired().forEach(listeners::notifyRetired);
    known.notifications().takeReplaced().forEach(listeners::notifyReplaced);
  }

  private void rebuild() {
    index.rebuild(known.all(), this::acceptsNewRequests);
  }
}
