package org.gradeledge.standin.load;

import java.time.Duration;
import reactor.core.publisher.Mono;

/** Waits until a request is due. */
public abstract class ScheduledDelay {

  private static final long MIN_DELAY_NANOS = 1_000_000;

  private ScheduledDelay() {}

  /** Completes at a moment of {@link System#nanoTime}, to about a millisecond. */
  public static Mono<Long> until(long nanos) {
    return Mono.defer(
        () -> {
          long left = nanos - System.nanoTime();
          return left <= MIN_DELAY_NANOS ? Mono.just(0L) : Mono.delay(Duration.ofNanos(left));
        });
  }
}
