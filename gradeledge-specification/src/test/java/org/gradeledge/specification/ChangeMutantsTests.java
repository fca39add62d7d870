package org.gradeledge.specification;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Each assertion is broken by some change of the rules, so that it says something. */
class ChangeMutantsTests {

  private final Specification whole = Specification.whole();

  @Test
  void stagingOnAStaleBaseAcceptsTwoFromOneBase() {
    assertBreaks(
        whole.with("s.base = Table.current and no t: Submission", "no t: Submission"),
        "oneFromABase");
  }

  @Test
  void acceptingWithoutEveryMemberLeavesAnOldVersionInForce() {
    assertBreaks(
        whole.with(
            "pred accept[s: Submission] { state[s] = Staged and Member in Ack.of[s]",
            "pred accept[s: Submission] { state[s] = Staged"),
        "inForce");
  }

  @Test
  void removingAMemberThatIsStillConfirmedLeavesAnOldVersionInForce() {
    assertBreaks(
        whole.with("b in Member and (b in Dead or b not in Confirmed)", "b in Member"), "inForce");
  }

  @Test
  void confirmingWithoutTakingOnVersionsLeavesAnOldVersionInForce() {
    assertBreaks(
        whole.with(
            "(holds' = holds - b->Submission + b->Table.current\n    or some p",
            "(holds' = holds\n    or some p"),
        "toldMeansInForce");
  }

  @Test
  void tellingBeforeEveryMemberHasItTellsTooSoon() {
    assertBreaks(
        whole.with("b in Doubtful or b not in Confirmed))", "b in Member))"), "toldMeansInForce");
  }

  @Test
  void takingOnAnyVersionOfAPeerReverts() {
    assertBreaks(
        whole.with(
            "((newer[p.holds, b.holds] or no b.holds) implies holds' = holds - b->Submission +"
                + " b->p.holds else holds' = holds))",
            "holds' = holds - b->Submission + b->p.holds)"),
        "neverReverts");
  }

  @Test
  void installingWhateverWasSettledServesWhatWasRefused() {
    assertBreaks(
        whole.with(
            "holds' = (state[b.prepared] = Accepted implies",
            "holds' = (state[b.prepared] in Accepted + Refused implies"),
        "refusedNeverServed");
  }

  @Test
  void refusingWhatWasAcceptedTellsBoth() {
    assertBreaks(
        whole.with(
            "pred refuse[s: Submission] { state[s] = Staged",
            "pred refuse[s: Submission] { state[s] in Staged + Accepted"),
        "toldOnce");
  }

  @Test
  void tellingWhatIsOnlyStagedIsNotDurable() {
    assertBreaks(
        whole
            .with(
                "state[s] in Accepted + Refused\n  state[s] = Accepted",
                "state[s] != Absent\n  state[s] = Accepted")
            .with(
                "ToldAccepted' = (state[s] = Accepted implies",
                "ToldAccepted' = (state[s] in Staged + Accepted implies"),
        "toldMeansDurable");
  }

  private static void assertBreaks(Specification mutant, String assertion) {
    assertThat(mutant.finds(assertion)).isTrue();
  }
}
