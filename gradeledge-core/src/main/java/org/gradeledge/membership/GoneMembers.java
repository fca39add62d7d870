package org.gradeledge.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.gradeledge.time.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Watches which members the platform's list no longer shows, and says when one may be marked and
 * when a marked one may be removed.
 *
 * <p>A member is marked once the list has left it out for the membership bound in every read. It is
 * removed once the mark has been there for the membership bound and two reads more: by then nobody
 * who reads the table confirms it and its last confirmation has lapsed. Not thread-safe.
 *
 * @since 0.1
 */
public final class GoneMembers {

  private final Duration bound;
  private final Duration poll;
  private final LongSupplier nanos;
  private final Map<String, Long> unlistedSince = new HashMap<>();
  private final Map<String, Long> markedSince = new HashMap<>();

  /** Creates a watch with the membership bound and the period of reads. */
  public GoneMembers(Duration bound, Duration poll, MonotonicClock clock) {
    this.bound = bound;
    this.poll = poll;
    this.nanos = clock::nanos;
  }

  /** Takes in one read of the members and the list. */
  public void observe(MemberSet members, Set<String> listed) {
    long now = nanos.getAsLong();
    unlistedSince.keySet().removeIf(key -> isGone(members, key) || listed.contains(name(key)));
    markedSince.keySet().removeIf(key -> isGone(members, key));
    members
        .members()
        .values()
        .forEach(
            member -> {
              if (!listed.contains(member.boxId())) {
                unlistedSince.putIfAbsent(key(member), now);
              }
              if (member.removing()) {
                markedSince.putIfAbsent(key(member), now);
              }
            });
  }

  /** Forgets what was seen of the list, since it could not be read. */
  public void listUnknown() {
    unlistedSince.clear();
  }

  /** Returns the members to mark now. */
  public List<MemberRow> toMark(MemberSet members) {
    return members.members().values().stream()
        .filter(member -> !member.removing() && isOlder(unlistedSince.get(key(member)), bound))
        .toList();
  }

  /** Returns the marked members to remove now. */
  public List<MemberRow> toRemove(MemberSet members) {
    Duration wait = bound.plus(poll.multipliedBy(2));
    return members.members().values().stream()
        .filter(member -> member.removing() && isOlder(markedSince.get(key(member)), wait))
        .toList();
  }

  private boolean isOlder(@Nullable Long since, Duration age) {
    return since != null && nanos.getAsLong() - since >= age.toNanos();
  }

  private static boolean isGone(MemberSet members, String key) {
    return members.members().values().stream().noneMatch(member -> key(member).equals(key));
  }

  private static String key(MemberRow member) {
    return member.boxId() + "#" + member.incarnation();
  }

  private static String name(String key) {
    return key.substring(0, key.indexOf('#'));
  }
}
