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
  void aConfirmationLastsForTheBound() {
    membership.joined(3);
    membership.confirmed(3, 0);
    nanos = 99;
    assertThat(membership.isConfirmed()).isTrue();
    nanos = 100;
    assertThat(membership.isConfirmed()).isFalse();
  }

  @Test
  void aConfirmationOfAnEarlierIncarnationCountsForNothing() {
    membership.joined(3);
    membership.confirmed(2, 0);
    assertThat(membership.isConfirmed()).isFalse();
  }

  @Test
  void anOlderConfirmationDoesNotShortenANewerOne() {
    membership.joined(1);
    membership.confirmed(1, 50);
    membership.confirmed(1, 10);
    nanos = 140;
    assertThat(membership.isConfirmed()).isTrue();
  }

  @Test
  void aMemberIsMarkedAndThenRemovedOnlyAfterTheBounds() {
    GoneMembers gone = new GoneMembers(BOUND, Duration.ofNanos(10), () -> nanos);
    MemberSet members = members(false);
    gone.observe(members, Set.of());
    nanos = 99;
    assertThat(gone.toMark(members)).isEmpty();
    nanos = 100;
    assertThat(gone.toMark(members)).hasSize(1);
    gone.listUnknown();
    assertThat(gone.toMark(members)).isEmpty();

    MemberSet marked = members(true);
    gone.observe(marked, Set.of());
    nanos += 119;
    assertThat(gone.toRemove(marked)).isEmpty();
    nanos += 1;
    assertThat(gone.toRemove(marked)).hasSize(1);
    assertThat(marked.confirms("box-2", 7)).isFalse();
  }

  private static MemberSet members(boolean removing) {
    MemberRow row = new MemberRow("box-2", 7, "sofia-1", "127.0.0.1", 1, removing);
    return new MemberSet(5, 7, Map.of("box-2", row), Map.of("box-2", 5L));
  }
}
