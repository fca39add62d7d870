package org.gradeledge.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Verdicts on parts of prompts, which share their crashes with requests and other parts. */
class PromptPartQuarantineTests {

  private static final PromptPartIdentity EARLY = new PromptPartIdentity("e1", 2);
  private static final PromptPartIdentity LATER = new PromptPartIdentity("1a", 1);
  private static final PromptPartIdentity OTHER_LATER = new PromptPartIdentity("1b", 1);

  private final Quarantine quarantine = new Quarantine(() -> 0);
  private long bodies;

  // Guards against barring the parts that every request of a route has in place of the guilty one.
  @Test
  void barsTheNarrowerOfTwoPartsWithTheSameCrashes() {
    Stream.of("a", "b", "c", "d").forEach(upstream -> crash(upstream, LATER, EARLY));

    assertThat(isQuarantined(LATER)).isTrue();
    assertThat(isQuarantined(EARLY)).isFalse();
  }

  // Guards against a guilty early part that is taken for innocent because later ones were beside
  // it.
  @Test
  void barsEarlyPartThatCrashesUpstreamsUnderDifferentLaterOnes() {
    crash("a", LATER, EARLY);
    crash("b", OTHER_LATER, EARLY);
    crash("c", LATER, EARLY);
    crash("d", OTHER_LATER, EARLY);

    assertThat(isQuarantined(EARLY)).isTrue();
    assertThat(isQuarantined(LATER)).isFalse();
    assertThat(isQuarantined(OTHER_LATER)).isFalse();
  }

  // Guards against a part that is never barred because each of its requests explains its crashes.
  @Test
  void barsPartOfRequestsThatEachCrashThreeUpstreams() {
    for (int request = 0; request < 3; request++) {
      RequestFingerprint fingerprint = nextRequest();
      for (int upstream = 0; upstream < 3; upstream++) {
        crash(fingerprint, "u" + request + upstream, LATER, EARLY);
      }
    }

    assertThat(isQuarantined(LATER)).isTrue();
  }

  // Guards against barring a part under which upstreams answer.
  @Test
  void answerClearsPartOfCrashesBeforeIt() {
    crash("a", LATER, EARLY);
    crash("b", LATER, EARLY);
    quarantine.recordSuccess(LATER.fingerprint());
    crash("c", LATER, EARLY);
    crash("d", LATER, EARLY);

    assertThat(isQuarantined(LATER)).isFalse();
  }

  // Guards against boxes that bar different parts because updates arrive in different orders.
  @Test
  void boxesReachTheSameVerdictInAnyOrderOfUpdates() {
    Stream.of("a", "b", "c", "d").forEach(upstream -> crash(upstream, LATER, EARLY));
    List<SuspectReport> reports = quarantine.snapshot().reports();

    for (int start = 0; start < reports.size(); start++) {
      Quarantine other = new Quarantine(() -> 0);
      for (int offset = 0; offset < reports.size(); offset++) {
        SuspectReport report = reports.get((start + offset) % reports.size());
        other.merge(new SuspectUpdate(List.of(report), List.of()));
      }
      assertThat(other.quarantined()).containsExactly(LATER.fingerprint());
      assertThat(other.digest()).isEqualTo(quarantine.digest());
    }
  }

  @Test
  void idsAreComparedAsNumbers() {
    assertThat(new PromptPartIdentity("00Ab", 1)).isEqualTo(new PromptPartIdentity("ab", 1));
    assertThat(new PromptPartIdentity("0", 1).id()).isEqualTo("0");
    assertThat(new PromptPartIdentity("ab", 1).fingerprint())
        .isEqualTo(new PromptPartIdentity("AB", 3).fingerprint());
  }

  /** Records a crash of an upstream under a new request with the given parts. */
  private void crash(String upstream, PromptPartIdentity... parts) {
    crash(nextRequest(), upstream, parts);
  }

  private void crash(RequestFingerprint request, String upstream, PromptPartIdentity... parts) {
    quarantine.recordCrash(request, upstream);
    Stream.of(parts)
        .forEach(part -> quarantine.recordCrash(part.fingerprint(), part.breadth(), upstream));
  }

  private RequestFingerprint nextRequest() {
    return new RequestFingerprint(7, bodies++, 1);
  }

  private boolean isQuarantined(PromptPartIdentity part) {
    return quarantine.isQuarantined(part.fingerprint());
  }
}
