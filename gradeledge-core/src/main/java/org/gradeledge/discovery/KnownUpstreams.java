package org.gradeledge.discovery;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Holds the latest incarnation of each upstream by id and applies reports about upstreams to it.
 * Confined to the event loop.
 */
final class KnownUpstreams {

  private final UpstreamChangeLog log;
  private final Map<String, UpstreamRecord> byId = new HashMap<>();
  private final DepartedUpstreams departed = new DepartedUpstreams();
  private final ReappearedUpstreams reappeared = new ReappearedUpstreams();
  private final Set<String> lapsed = new HashSet<>();
  private final Set<String> announcedLeavingIds = new HashSet<>();
  private final PendingUpstreamNotifications notifications = new PendingUpstreamNotifications();
  private boolean sourceUnavailable;
  private boolean untrustedByPeer;
  private long revision = -1;
  private long changedAt = -1;

  KnownUpstreams(UpstreamChangeLog log) {
    this.log = log;
  }

  /** Starts an update of the list; log lines written from now on carry its revision. */
  void beginUpdate(long newRevision) {
    revision = newRevision;
  }

  /** Returns the revision of the list that has been applied, -1 initially. */
  long revision() {
    return revision;
  }

  /** Returns the revision of the last update that changed an entry, -1 initially. */
  long changedAt() {
    return changedAt;
  }

  Collection<UpstreamRecord> all() {
    return byId.values();
  }

  boolean isLapsed(UpstreamRecord upstream) {
    return lapsed.contains(upstream.id());
  }

  /** Returns the entry of this incarnation, if it is the latest one of its upstream. */
  Optional<UpstreamRecord> find(UpstreamRecord upstream) {
    return Optional.ofNullable(byId.get(upstream.id()))
        .filter(known -> known.born() == upstream.born());
  }

  /** Removes all upstreams whose ids are not given. */
  void retain(Set<String> ids) {
    byId.keySet().stream().filter(id -> !ids.contains(id)).toList().forEach(this::remove);
  }

  /** Applies an entry of a full read of the list. */
  void putFromSnapshot(UpstreamRecord upstream) {
    if (!reappeared.withholdIfReappeared(upstream)) {
      put(upstream);
    }
  }

  /** Applies an entry that its upstream has just written. */
  void put(UpstreamRecord upstream) {
    reappeared.recordWritten(upstream.id());
    UpstreamRecord before = byId.get(upstream.id());
    if (before != null && upstream.born() < before.born()) {
      return;
    }
    if (before != null && before.born() < upstream.born()) {
      replace(before);
      before = null;
    }
    if (hasLeft(upstream, before) && !upstream.leaving()) {
      return;
    }
    store(upstream, before);
  }

  private boolean hasLeft(UpstreamRecord upstream, @Nullable UpstreamRecord before) {
    boolean leavingBefore = before != null && before.leaving() && before.born() == upstream.born();
    return leavingBefore || departed.contains(upstream);
  }

  /**
   * Retires the previous incarnation; requests sent to it are lost, even if its connections stay
   * open.
   */
  private void replace(UpstreamRecord before) {
    logChange("upstream-replaced", before);
    departed.add(before);
    byId.remove(before.id());
    if (!before.leaving()) {
      notifications.addRetired(before);
    }
    notifications.addReplaced(before);
  }

  private void store(UpstreamRecord upstream, @Nullable UpstreamRecord before) {
    lapsed.remove(upstream.id());
    reappeared.recordPresent(upstream);
    byId.put(upstream.id(), upstream);
    if (!upstream.equals(before) || isNewlyCold(upstream, before)) {
      changedAt = revision;
    }
    if (upstream.coldMillis() > 0) {
      notifications.addCold(upstream);
    }
    if (before == null) {
      logChange("upstream-listed", upstream);
    }
    if (upstream.leaving()) {
      announcedLeavingIds.remove(upstream.incarnationId());
    }
    if (upstream.leaving() && (before == null || !before.leaving())) {
      departed.add(upstream);
      logChange("upstream-leaving", upstream);
      notifications.addRetired(upstream);
    }
  }

  private static boolean isNewlyCold(UpstreamRecord upstream, @Nullable UpstreamRecord before) {
    return upstream.coldMillis() > 0 && (before == null || before.coldMillis() == 0);
  }

  void remove(String id) {
    reappeared.recordWritten(id);
    UpstreamRecord known = byId.get(id);
    if (areRemovalsUntrusted() && known != null && !known.leaving()) {
      markLapsed(known);
    } else {
      delete(id);
    }
  }

  private void markLapsed(UpstreamRecord upstream) {
    if (lapsed.add(upstream.id())) {
      changedAt = revision;
      logChange("upstream-lapsed", upstream);
    }
  }

  /** Distrusts entries of removed upstreams that reappear without having been rewritten. */
  void distrustReappearedEntries() {
    reappeared.startWithholding();
  }

  /** Treats entries that are removed from now on as lapsed. */
  void distrustRemovals() {
    sourceUnavailable = true;
  }

  /** Does the same after another box has reported an outage. */
  void distrustRemovalsReportedByPeer() {
    untrustedByPeer = true;
  }

  /** Returns whether this box has detected an outage of the list itself. */
  boolean hasDetectedOutage() {
    return sourceUnavailable;
  }

  /**
   * Returns whether removed entries may only have lapsed, as detected here or reported by a peer.
   */
  boolean areRemovalsUntrusted() {
    return sourceUnavailable || untrustedByPeer;
  }

  /** Trusts removals again: removes all lapsed upstreams. */
  void trustRemovals() {
    sourceUnavailable = false;
    untrustedByPeer = false;
    List.copyOf(lapsed).forEach(this::delete);
    reappeared.releaseWithheld().forEach(this::put);
  }

  /** Removes an incarnation permanently, if it is the latest one. */
  void markGone(UpstreamRecord upstream) {
    departed.add(upstream);
    find(upstream).ifPresent(known -> delete(known.id()));
  }

  /**
   * Records that an incarnation has announced in a response that it leaves. This is final: a later
   * entry of the list may be outdated, as the upstream cannot update it while the list's source is
   * unavailable. This also covers an incarnation whose entry is gone and may be listed again.
   *
   * @return whether the upstream was in use and is now marked as leaving
   */
  boolean recordLeavingAnnouncement(UpstreamRecord upstream) {
    departed.add(upstream);
    Optional<UpstreamRecord> inUse = find(upstream).filter(each -> !each.leaving());
    inUse.ifPresent(each -> announcedLeavingIds.add(each.incarnationId()));
    inUse.ifPresent(each -> markLeaving(each, "answer"));
    return inUse.isPresent();
  }

  /**
   * Applies announcements that a peer has received; returns whether any of them changed an
   * upstream.
   */
  boolean applyPeerLeavingAnnouncements(String peer, Collection<String> incarnationIds) {
    List<String> newIds = incarnationIds.stream().filter(departed::addIncarnation).toList();
    List<UpstreamRecord> affected =
        byId.values().stream()
            .filter(each -> !each.leaving() && newIds.contains(each.incarnationId()))
            .toList();
    affected.forEach(each -> markLeaving(each, peer));
    return !affected.isEmpty();
  }

  private void markLeaving(UpstreamRecord known, String reporter) {
    log.logLeavingAnnouncement(known, reporter);
    byId.put(known.id(), known.asLeaving());
    notifications.addRetired(known);
  }

  /**
   * Returns the incarnations that have announced to this box that they leave, are still listed, and
   * are not marked as leaving in the list.
   */
  List<String> announcedLeaving() {
    if (!announcedLeavingIds.isEmpty()) {
      announcedLeavingIds.retainAll(
          byId.values().stream().map(UpstreamRecord::incarnationId).toList());
    }
    return List.copyOf(announcedLeavingIds);
  }

  /** Removes an incarnation whose entry has lapsed, until it is listed again. */
  void removeIfLapsed(UpstreamRecord upstream) {
    if (find(upstream).filter(this::isLapsed).isPresent()) {
      logChange("upstream-closing", upstream);
      delete(upstream.id());
    }
  }

  private void delete(String id) {
    lapsed.remove(id);
    UpstreamRecord before = byId.remove(id);
    if (before != null) {
      changedAt = revision;
    }
    if (before != null && !before.leaving()) {
      logChange("upstream-gone", before);
      reappeared.recordGone(before);
      notifications.addRetired(before);
    }
  }

  private void logChange(String event, UpstreamRecord upstream) {
    log.logChange(event, upstream, revision);
  }

  /** Returns the notifications to deliver after the update. */
  PendingUpstreamNotifications notifications() {
    return notifications;
  }
}
