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
 * By id the newest start of each upstream, and what a report about one changes. Confined to the
 * event loop.
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

  /** Begins a change of the list; lines that are written from now on carry its revision. */
  void beginUpdate(long newRevision) {
    revision = newRevision;
  }

  /** Returns the revision of the list that this stands at, -1 at the start. */
  long revision() {
    return revision;
  }

  /** Returns the revision at which the list last said something new, -1 at the start. */
  long changedAt() {
    return changedAt;
  }

  Collection<UpstreamRecord> all() {
    return byId.values();
  }

  boolean isLapsed(UpstreamRecord upstream) {
    return lapsed.contains(upstream.id());
  }

  /** Returns what is known of this start of an upstream, if it is the newest one. */
  Optional<UpstreamRecord> find(UpstreamRecord upstream) {
    return Optional.ofNullable(byId.get(upstream.id()))
        .filter(known -> known.startedAtMillis() == upstream.startedAtMillis());
  }

  /** Removes all but the named ones. */
  void retain(Set<String> ids) {
    byId.keySet().stream().filter(id -> !ids.contains(id)).toList().forEach(this::remove);
  }

  /** Takes in a report of a whole reading. */
  void putFromSnapshot(UpstreamRecord upstream) {
    if (!reappeared.withholdIfReappeared(upstream)) {
      put(upstream);
    }
  }

  /** Takes in what was just written. */
  void put(UpstreamRecord upstream) {
    reappeared.recordWritten(upstream.id());
    UpstreamRecord before = byId.get(upstream.id());
    if (before != null && upstream.startedAtMillis() < before.startedAtMillis()) {
      return;
    }
    if (before != null && before.startedAtMillis() < upstream.startedAtMillis()) {
      replace(before);
      before = null;
    }
    if (hasLeft(upstream, before) && !upstream.leaving()) {
      return;
    }
    store(upstream, before);
  }

  private boolean hasLeft(UpstreamRecord upstream, @Nullable UpstreamRecord before) {
    boolean leavingBefore =
        before != null
            && before.leaving()
            && before.startedAtMillis() == upstream.startedAtMillis();
    return leavingBefore || departed.contains(upstream);
  }

  /** What was sent to the start before is lost with it, also where no connection says so. */
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

  /** Entries of upstreams that had gone may be there again without having been written anew. */
  void distrustReappearedEntries() {
    reappeared.startWithholding();
  }

  /** Entries that vanish from now on may only have lapsed. */
  void distrustRemovals() {
    sourceUnavailable = true;
  }

  /** The same, as another box has noticed it. */
  void distrustRemovalsReportedByPeer() {
    untrustedByPeer = true;
  }

  /** Returns whether this box itself has noticed that entries may only have lapsed. */
  boolean hasDetectedOutage() {
    return sourceUnavailable;
  }

  /** Returns whether entries that are missing may only have lapsed, as noticed or told. */
  boolean areRemovalsUntrusted() {
    return sourceUnavailable || untrustedByPeer;
  }

  /** What is missing now is gone. */
  void trustRemovals() {
    sourceUnavailable = false;
    untrustedByPeer = false;
    List.copyOf(lapsed).forEach(this::delete);
    reappeared.releaseWithheld().forEach(this::put);
  }

  /** Ends a start for good, if it is the newest one. */
  void markGone(UpstreamRecord upstream) {
    departed.add(upstream);
    find(upstream).ifPresent(known -> delete(known.id()));
  }

  /**
   * Takes a start's own word in an answer that it leaves. It is final: what the list says later of
   * this start may be older, as the start cannot write there while the list's source is away. One
   * whose entry has gone may be listed again too.
   *
   * @return whether it takes no new work from now on
   */
  boolean recordLeavingAnnouncement(UpstreamRecord upstream) {
    departed.add(upstream);
    Optional<UpstreamRecord> known = find(upstream).filter(each -> !each.leaving());
    known.ifPresent(each -> announcedLeavingIds.add(each.incarnationId()));
    known.ifPresent(each -> markLeaving(each, "answer"));
    return known.isPresent();
  }

  /** Takes in that starts have said so to another box; returns whether any of it is new. */
  boolean applyPeerLeavingAnnouncements(String box, Collection<String> starts) {
    List<String> fresh = starts.stream().filter(departed::addIncarnation).toList();
    List<UpstreamRecord> told =
        byId.values().stream()
            .filter(each -> !each.leaving() && fresh.contains(each.incarnationId()))
            .toList();
    told.forEach(each -> markLeaving(each, box));
    return !told.isEmpty();
  }

  private void markLeaving(UpstreamRecord known, String from) {
    log.logLeavingAnnouncement(known, from);
    byId.put(known.id(), known.asLeaving());
    notifications.addRetired(known);
  }

  /**
   * Returns the starts that have said so to this box and are still listed; the list does not say it
   * of them yet.
   */
  List<String> announcedLeaving() {
    if (!announcedLeavingIds.isEmpty()) {
      announcedLeavingIds.retainAll(
          byId.values().stream().map(UpstreamRecord::incarnationId).toList());
    }
    return List.copyOf(announcedLeavingIds);
  }

  /** Ends a start whose entry has vanished, until it is listed again. */
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

  private void logChange(String what, UpstreamRecord upstream) {
    log.logChange(what, upstream, revision);
  }

  /** Returns what is to be told once the change is over. */
  PendingUpstreamNotifications notifications() {
    return notifications;
  }
}
