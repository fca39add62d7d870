package org.gradeledge.quarantine;

import java.time.Duration;
import java.util.Optional;
import reactor.core.publisher.Mono;

/**
 * Grants trials of quarantined requests: a trial sends the request to one upstream to find out
 * whether it still crashes it. Trials are shared by all boxes of a deployment.
 *
 * @since 0.3
 */
public interface QuarantineTrials {

  /**
   * Returns the time until the next trial of a request, zero if it is due, empty if there is none.
   */
  Optional<Duration> timeUntilNext(RequestFingerprint fingerprint);

  /**
   * Claims the trial that is due; the value is true if this box, and no other, may send the request
   * once.
   */
  Mono<Boolean> claim(RequestFingerprint fingerprint);
}
