package org.gradeledge.standin.load;

import java.time.Duration;
import reactor.core.publisher.Mono;

/** Waits until a request is due. */
public abstract class Pace {

  private static final long NOT_WORTH_WAITING_NANOS = 1_000_000;

  private Pace() {}

  /** Completes at a moment of {@link System#nanoTime}, to about a millisecond. */
  public static Mono<Long> until(long nanos) {
    return Mono.defer(
        () -> {
          long left = nanos - System.nanoTime();
          return left <= NOT_WORTH_WAITING_NANOS
              ? Mono.just(0L)
              : Mono.delay(Duration.ofNanos(left));
        });
  }
}
