package org.gradeledge.quarantine;

import java.time.Duration;
import java.util.Optional;
import reactor.core.publisher.Mono;

/**
 * Once in a while a request that is held back may be sent to one upstream, to see whether it still
 * ends it. All boxes of a deployment share these few trials.
 *
 * @since 0.3
 */
public interface QuarantineTrials {

  /** Returns how long until the next trial of a request, zero if it is due, empty if none is. */
  Optional<Duration> timeUntilNext(RequestFingerprint fingerprint);

  /**
   * Asks for the trial that is due; the value tells whether this box, and no other, may send the
   * request once.
   */
  Mono<Boolean> claim(RequestFingerprint fingerprint);
}
