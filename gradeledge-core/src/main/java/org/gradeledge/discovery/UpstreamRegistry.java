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
 * All upstreams that are known to the box, by id the newest start of each. A start that has once
 * been leaving takes no new work again, whatever an older report says; one whose entry only lapsed
 * may come back. A newer start under the same id ends the one before, and what is heard of that one
 * later changes nothing.
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

  /** Tells a listener of each upstream that takes no new work any more. */
  public void onRetired(Consumer<UpstreamRecord> listener) {
    listeners.onRetired(listener);
  }

  /** Tells a listener of each start after which another one has begun under the same id. */
  public void onReplaced(Consumer<UpstreamRecord> listener) {
    listeners.onReplaced(listener);
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
    return evacuated.current();
  }

  /**
   * Takes on which zones take no new work, unless something newer is known. What their upstreams
   * work on goes on.
   *
   * @return whether the zones are others than before
   */
  public boolean applyEvacuations(ZoneEvacuations told) {
    Optional<Set<String>> restored = evacuated.update(told);
    restored.ifPresent(
        zones -> {
          rebuild();
          listeners.notifyZonesChanged(zones);
        });
    return restored.isPresent();
  }

  /** Returns the revision of the list that the registry stands at, -1 at the start. */
  public long revision() {
    return known.revision();
  }

  /** Returns the revision at which the list last said something new, -1 at the start. */
  public long changedAt() {
    return known.changedAt();
  }

  /** Returns all upstreams that are known. */
  public Collection<UpstreamRecord> all() {
    return known.all();
  }

  /** Returns the upstreams of some zones. */
  public List<UpstreamRecord> inZones(Set<String> zones) {
    return known.all().stream().filter(upstream -> zones.contains(upstream.zone())).toList();
  }

  /** Returns the upstreams that the list names now, without those whose entry may have lapsed. */
  public Collection<UpstreamRecord> listed() {
    return known.all().stream().filter(upstream -> !known.isLapsed(upstream)).toList();
  }

  /** Returns the upstreams of a service that take new work. */
  public List<UpstreamRecord> usable(String service) {
    return index.usable(service);
  }

  /** Returns whether a start of an upstream leaves, or is listed no more. */
  public boolean hasLeft(UpstreamRecord upstream) {
    return known.find(upstream).map(UpstreamRecord::leaving).orElse(true);
  }

  /** Returns whether new work may still be sent to an upstream. */
  public boolean isUsable(UpstreamRecord upstream) {
    return known.find(upstream).filter(this::acceptsNewRequests).isPresent();
  }

  private boolean acceptsNewRequests(UpstreamRecord upstream) {
    return !upstream.leaving() && !isEvacuated(upstream);
  }

  /**
   * Returns whether the zone of an upstream is evacuated, so that nothing new may be sent to it.
   */
  public boolean isEvacuated(UpstreamRecord upstream) {
    return evacuated.contains(upstream);
  }

  /** Returns the upstream that has an address. */
  public Optional<UpstreamRecord> atAddress(String address) {
    return index.atAddress(address);
  }

  /** Takes a whole list on where it is not older than what is held. */
  public void replaceAll(long newRevision, Collection<UpstreamRecord> records) {
    if (newRevision >= known.revision()) {
      known.beginUpdate(newRevision);
      known.retain(records.stream().map(UpstreamRecord::id).collect(Collectors.toSet()));
      records.forEach(known::putFromSnapshot);
      publishChanges();
    }
  }

  /** Takes changes on that lead to a revision. */
  public void update(long newRevision, Collection<UpstreamRecord> put, Collection<String> gone) {
    if (newRevision >= known.revision()) {
      known.beginUpdate(newRevision);
      put.forEach(known::put);
      gone.forEach(known::remove);
      publishChanges();
    }
  }

  /**
   * Notes that the list's source does not answer: an entry that vanishes from now on may only have
   * lapsed, as the upstream could not renew it, and stays in use until the list can be trusted.
   */
  public void distrustRemovals() {
    known.distrustRemovals();
  }

  /**
   * Notes that the list's source came back as an older copy of itself: an entry of an upstream that
   * had gone may be there again only for that, and is not used until it is written anew or the list
   * can be trusted.
   */
  public void distrustReappearedEntries() {
    known.distrustReappearedEntries();
  }

  /**
   * Notes that another box has noticed that the list's source did not answer: this one may not
   * have, as it seldom reads, and what it is told or reads next lacks entries that only lapsed.
   */
  public void distrustRemovalsReportedByPeer() {
    known.distrustRemovalsReportedByPeer();
  }

  /** Returns what this box can say itself of entries that are missing. */
  public ListTrust listTrust() {
    return known.hasDetectedOutage() ? ListTrust.DOUBTED : trustSupplier.get();
  }

  /** Returns whether entries that are missing may only have lapsed, as noticed or told. */
  public boolean areRemovalsUntrusted() {
    return known.areRemovalsUntrusted();
  }

  /** Sets whether this box reads the list so steadily that it would have noticed an outage. */
  public void setTrustSupplier(Supplier<ListTrust> reading) {
    trustSupplier = reading;
  }

  /** Notes that the upstreams have had the time to renew their entries: what is missing is gone. */
  public void trustRemovals() {
    known.trustRemovals();
    publishChanges();
  }

  /** Notes that an upstream was seen to be gone, for instance since another has its address. */
  public void markGone(UpstreamRecord upstream) {
    known.markGone(upstream);
    publishChanges();
  }

  /**
   * Notes that an upstream said in an answer that it leaves: this start takes no new work any more,
   * whatever the list says of it.
   */
  public void recordLeavingAnnouncement(UpstreamRecord upstream) {
    if (known.recordLeavingAnnouncement(upstream)) {
      publishChanges();
      onLeavingAnnounced.run();
    }
  }

  /** Runs an action whenever an upstream has said to this box that it leaves, and that is news. */
  public void onLeavingAnnounced(Runnable action) {
    onLeavingAnnounced = action;
  }

  /**
   * Takes in the starts that have said to another box that they leave; returns whether any of it is
   * news.
   */
  public boolean applyPeerLeavingAnnouncements(String box, Collection<String> starts) {
    boolean news = !starts.isEmpty() && known.applyPeerLeavingAnnouncements(box, starts);
    if (news) {
      publishChanges();
    }
    return news;
  }

  /**
   * Returns the starts that have said to this box that they leave, as long as they are listed and
   * the list does not say so.
   */
  public List<String> announcedLeaving() {
    return known.announcedLeaving();
  }

  /**
   * Notes that an upstream closes connections as one that leaves does. Others do so at times; one
   * whose entry has vanished as well is out of use until it renews that.
   */
  public void recordConnectionClose(UpstreamRecord upstream) {
    if (known.isLapsed(upstream)) {
      known.removeIfLapsed(upstream);
      publishChanges();
    }
  }

  /**
   * Ends a change. Listeners look for other upstreams at once, so that they must not be told before
   * those that have just ended are out of the index.
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
