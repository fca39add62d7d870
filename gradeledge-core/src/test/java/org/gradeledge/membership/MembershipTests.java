package org.gradeledge.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.gradeledge.metrics.BoxMetrics;
import org.junit.jupiter.api.Test;

class MembershipTests {

  private static final Duration BOUND = Duration.ofNanos(100);

  private long nanos;
  private final Membership membership =
      new Membership("box-1", BOUND, () -> nanos, new BoxMetrics());

  @Test
  void confirmationExpiresAfterMembershipBound() {
    membership.recordJoin(3);
    membership.recordConfirmation(3, 0);
    nanos = 99;
    assertThat(membership.isConfirmed()).isTrue();
    nanos = 100;
    assertThat(membership.isConfirmed()).isFalse();
  }

  @Test
  void ignoresConfirmationOfEarlierIncarnation() {
    membership.recordJoin(3);
    membership.recordConfirmation(2, 0);
    assertThat(membership.isConfirmed()).isFalse();
  }

  @Test
  void olderConfirmationDoesNotReplaceNewerOne() {
    membership.recordJoin(1);
    membership.recordConfirmation(1, 50);
    membership.recordConfirmation(1, 10);
    nanos = 140;
    assertThat(membership.isConfirmed()).isTrue();
  }

  @Test
  void marksAndRemovesUnlistedMemberOnlyAfterBounds() {
    UnlistedMemberTracker gone =
        new UnlistedMemberTracker(BOUND, Duration.ofNanos(10), () -> nanos);
    MemberSet members = members(false);
    gone.observe(members, Set.of());
    nanos = 99;
    assertThat(gone.membersToMark(members)).isEmpty();
    nanos = 100;
    assertThat(gone.membersToMark(members)).hasSize(1);
    gone.listUnavailable();
    assertThat(gone.membersToMark(members)).isEmpty();

    MemberSet marked = members(true);
    gone.observe(marked, Set.of());
    nanos += 119;
    assertThat(gone.membersToRemove(marked)).isEmpty();
    nanos += 1;
    assertThat(gone.membersToRemove(marked)).hasSize(1);
    assertThat(marked.isActiveMember("box-2", 7)).isFalse();
  }

  private static MemberSet members(boolean removing) {
    MemberRow row = new MemberRow("box-2", 7, "sofia-1", "127.0.0.1", 1, removing);
    return new MemberSet(5, 7, Map.of("box-2", row), Map.of("box-2", 5L));
  }
}
