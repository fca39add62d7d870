package org.gradeledge.relay;

import java.time.Duration;
import java.util.Optional;
import org.gradeledge.quarantine.QuarantineTrials;
import org.gradeledge.quarantine.RequestFingerprint;
import reactor.core.publisher.Mono;

/** Trials that the test grants. */
final class ControlledTrials implements QuarantineTrials {

  Optional<Duration> untilNext = Optional.empty();
  boolean granted;

  @Override
  public Optional<Duration> timeUntilNext(RequestFingerprint fingerprint) {
    return untilNext;
  }

  @Override
  public Mono<Boolean> claim(RequestFingerprint fingerprint) {
    return Mono.just(granted);
  }
}
