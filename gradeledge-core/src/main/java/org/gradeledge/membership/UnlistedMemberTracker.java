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
 * Tracks members that the platform's list of boxes no longer contains, and determines when to mark
 * and when to remove them.
 *
 * <p>A member is marked for removal once every read of the list within the membership bound lacked
 * it. It is removed once it has been marked for the membership bound and two more poll intervals:
 * by then all readers of the table have stopped confirming it and its last confirmation has
 * expired. Not thread-safe.
 *
 * @since 0.1
 */
public final class UnlistedMemberTracker {

  private final Duration membershipBound;
  private final Duration pollInterval;
  private final LongSupplier nanoTime;
  private final Map<String, Long> unlistedSince = new HashMap<>();
  private final Map<String, Long> markedSince = new HashMap<>();

  /** Creates a tracker with the membership bound and the interval of table reads. */
  public UnlistedMemberTracker(
      Duration membershipBound, Duration pollInterval, MonotonicClock clock) {
    this.membershipBound = membershipBound;
    this.pollInterval = pollInterval;
    this.nanoTime = clock::nanos;
  }

  /** Updates the state from a read of the members and the list. */
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

  /** Restarts the waiting time of unlisted members because the list could not be read. */
  public void listUnavailable() {
    unlistedSince.clear();
  }

  /** Returns the members to mark for removal now. */
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

  private boolean hasElapsed(@Nullable Long since, Duration duration) {
    return since != null && nanoTime.getAsLong() - since >= duration.toNanos();
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
