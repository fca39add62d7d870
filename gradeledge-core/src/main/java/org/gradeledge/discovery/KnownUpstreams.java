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
  private final ReturnedUpstreams returned = new ReturnedUpstreams();
  private final Set<String> lapsed = new HashSet<>();
  private final Set<String> announced = new HashSet<>();
  private final UpstreamNotices notices = new UpstreamNotices();
  private boolean sourceAway;
  private boolean doubtTold;
  private long revision = -1;
  private long changedAt = -1;

  KnownUpstreams(UpstreamChangeLog log) {
    this.log = log;
  }

  /** Begins a change of the list; lines that are written from now on carry its revision. */
  void begin(long newRevision) {
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
        .filter(known -> known.born() == upstream.born());
  }

  /** Removes all but the named ones. */
  void retain(Set<String> ids) {
    byId.keySet().stream().filter(id -> !ids.contains(id)).toList().forEach(this::remove);
  }

  /** Takes in a report of a whole reading. */
  void read(UpstreamRecord upstream) {
    if (!returned.holdsBack(upstream)) {
      put(upstream);
    }
  }

  /** Takes in what was just written. */
  void put(UpstreamRecord upstream) {
    returned.written(upstream.id());
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
    take(upstream, before);
  }

  private boolean hasLeft(UpstreamRecord upstream, @Nullable UpstreamRecord before) {
    boolean leavingBefore = before != null && before.leaving() && before.born() == upstream.born();
    return leavingBefore || departed.contains(upstream);
  }

  /** What was sent to the start before is lost with it, also where no connection says so. */
  private void replace(UpstreamRecord before) {
    write("upstream-replaced", before);
    departed.remember(before);
    byId.remove(before.id());
    if (!before.leaving()) {
      notices.ended(before);
    }
    notices.replaced(before);
  }

  private void take(UpstreamRecord upstream, @Nullable UpstreamRecord before) {
    lapsed.remove(upstream.id());
    returned.isThere(upstream);
    byId.put(upstream.id(), upstream);
    if (!upstream.equals(before) || isNewlyCold(upstream, before)) {
      changedAt = revision;
    }
    if (upstream.coldMillis() > 0) {
      notices.cold(upstream);
    }
    if (before == null) {
      write("upstream-listed", upstream);
    }
    if (upstream.leaving()) {
      announced.remove(upstream.start());
    }
    if (upstream.leaving() && (before == null || !before.leaving())) {
      departed.remember(upstream);
      write("upstream-leaving", upstream);
      notices.ended(upstream);
    }
  }

  private static boolean isNewlyCold(UpstreamRecord upstream, @Nullable UpstreamRecord before) {
    return upstream.coldMillis() > 0 && (before == null || before.coldMillis() == 0);
  }

  void remove(String id) {
    returned.written(id);
    UpstreamRecord known = byId.get(id);
    if (isDoubted() && known != null && !known.leaving()) {
      lapse(known);
    } else {
      end(id);
    }
  }

  private void lapse(UpstreamRecord upstream) {
    if (lapsed.add(upstream.id())) {
      changedAt = revision;
      write("upstream-lapsed", upstream);
    }
  }

  /** Entries of upstreams that had gone may be there again without having been written anew. */
  void distrustReturns() {
    returned.distrust();
  }

  /** Entries that vanish from now on may only have lapsed. */
  void distrustRemovals() {
    sourceAway = true;
  }

  /** The same, as another box has noticed it. */
  void distrustRemovalsAsTold() {
    doubtTold = true;
  }

  /** Returns whether this box itself has noticed that entries may only have lapsed. */
  boolean distrustsRemovals() {
    return sourceAway;
  }

  /** Returns whether entries that are missing may only have lapsed, as noticed or told. */
  boolean isDoubted() {
    return sourceAway || doubtTold;
  }

  /** What is missing now is gone. */
  void trustRemovals() {
    sourceAway = false;
    doubtTold = false;
    List.copyOf(lapsed).forEach(this::end);
    returned.trust().forEach(this::put);
  }

  /** Ends a start for good, if it is the newest one. */
  void depart(UpstreamRecord upstream) {
    departed.remember(upstream);
    find(upstream).ifPresent(known -> end(known.id()));
  }

  /**
   * Takes a start's own word in an answer that it leaves. It is final: what the list says later of
   * this start may be older, as the start cannot write there while the list's source is away. One
   * whose entry has gone may be listed again too.
   *
   * @return whether it takes no new work from now on
   */
  boolean announceLeaving(UpstreamRecord upstream) {
    departed.remember(upstream);
    Optional<UpstreamRecord> known = find(upstream).filter(each -> !each.leaving());
    known.ifPresent(each -> announced.add(each.start()));
    known.ifPresent(each -> leave(each, "answer"));
    return known.isPresent();
  }

  /** Takes in that starts have said so to another box; returns whether any of it is new. */
  boolean toldLeaving(String box, Collection<String> starts) {
    List<String> fresh = starts.stream().filter(departed::rememberStart).toList();
    List<UpstreamRecord> told =
        byId.values().stream()
            .filter(each -> !each.leaving() && fresh.contains(each.start()))
            .toList();
    told.forEach(each -> leave(each, box));
    return !told.isEmpty();
  }

  private void leave(UpstreamRecord known, String from) {
    log.writeAnnounced(known, from);
    byId.put(known.id(), known.asLeaving());
    notices.ended(known);
  }

  /**
   * Returns the starts that have said so to this box and are still listed; the list does not say it
   * of them yet.
   */
  List<String> announcedLeaving() {
    if (!announced.isEmpty()) {
      announced.retainAll(byId.values().stream().map(UpstreamRecord::start).toList());
    }
    return List.copyOf(announced);
  }

  /** Ends a start whose entry has vanished, until it is listed again. */
  void endIfLapsed(UpstreamRecord upstream) {
    if (find(upstream).filter(this::isLapsed).isPresent()) {
      write("upstream-closing", upstream);
      end(upstream.id());
    }
  }

  private void end(String id) {
    lapsed.remove(id);
    UpstreamRecord before = byId.remove(id);
    if (before != null) {
      changedAt = revision;
    }
    if (before != null && !before.leaving()) {
      write("upstream-gone", before);
      returned.gone(before);
      notices.ended(before);
    }
  }

  private void write(String what, UpstreamRecord upstream) {
    log.write(what, upstream, revision);
  }

  /** Returns what is to be told once the change is over. */
  UpstreamNotices notices() {
    return notices;
  }
}
