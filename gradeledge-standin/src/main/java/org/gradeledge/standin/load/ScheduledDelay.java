package org.gradeledge.standin.load;

import java.time.Duration;
import reactor.core.publisher.Mono;

/** Delays until a scheduled time. */
public abstract class ScheduledDelay {

  private static final long MIN_DELAY_NANOS = 1_000_000;

  private ScheduledDelay() {}

  /** Completes at a time of {@link System#nanoTime}, with millisecond precision. */
  public static Mono<Long> until(long nanoTime) {
    return Mono.defer(
        () -> {
          long remainingNanos = nanoTime - System.nanoTime();
          return remainingNanos <= MIN_DELAY_NANOS
              ? Mono.just(0L)
              : Mono.delay(Duration.ofNanos(remainingNanos));
        });
  }
}
