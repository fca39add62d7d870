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
public final class UnlistedMemberTracker {

  private final Duration membershipBound;
  private final Duration pollInterval;
  private final LongSupplier nanoTime;
  private final Map<String, Long> unlistedSince = new HashMap<>();
  private final Map<String, Long> markedSince = new HashMap<>();

  /** Creates a watch with the membership bound and the period of reads. */
  public UnlistedMemberTracker(Duration bound, Duration poll, MonotonicClock clock) {
    this.membershipBound = bound;
    this.pollInterval = poll;
    this.nanoTime = clock::nanos;
  }

  /** Takes in one read of the members and the list. */
  public void observe(MemberSet members, Set<String> listed) {
    long now = nanoTime.getAsLong();
    unlistedSince.keySet().removeIf(key -> isAbsent(members, key) || listed.contains(boxIdOf(key)));
    markedSince.keySet().removeIf(key -> isAbsent(members, key));
    members
        .members()
        .values()
        .forEach(
            member -> {
              if (!listed.contains(member.boxId())) {
                unlistedSince.putIfAbsent(keyOf(member), now);
              }
              if (member.removing()) {
                markedSince.putIfAbsent(keyOf(member), now);
              }
            });
  }

  /** Forgets what was seen of the list, since it could not be read. */
  public void listUnavailable() {
    unlistedSince.clear();
  }

  /** Returns the members to mark now. */
  public List<MemberRow> membersToMark(MemberSet members) {
    return members.members().values().stream()
        .filter(
            member ->
                !member.removing() && hasElapsed(unlistedSince.get(keyOf(member)), membershipBound))
        .toList();
  }

  /** Returns the marked members to remove now. */
  public List<MemberRow> membersToRemove(MemberSet members) {
    Duration wait = membershipBound.plus(pollInterval.multipliedBy(2));
    return members.members().values().stream()
        .filter(member -> member.removing() && hasElapsed(markedSince.get(keyOf(member)), wait))
        .toList();
  }

  private boolean hasElapsed(@Nullable Long since, Duration age) {
    return since != null && nanoTime.getAsLong() - since >= age.toNanos();
  }

  private static boolean isAbsent(MemberSet members, String key) {
    return members.members().values().stream().noneMatch(member -> keyOf(member).equals(key));
  }

  private static String keyOf(MemberRow member) {
    return member.boxId() + "#" + member.incarnation();
  }

  private static String boxIdOf(String key) {
    return key.substring(0, key.indexOf('#'));
  }
}
