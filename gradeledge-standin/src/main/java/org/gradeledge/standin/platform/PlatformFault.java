package org.gradeledge.standin.platform;

import java.time.Duration;
import java.util.Locale;
import java.util.function.Supplier;
import reactor.core.publisher.Mono;

/** Faults that the platform stand-in can inject into calls. */
public enum PlatformFault {
  /** No fault. */
  NONE,
  /** The connection is closed before the operation is performed. */
  DOWN,
  /** The operation and its response are delayed, but within the timeout. */
  SLOW,
  /** The operation is not performed and no response is sent. */
  FROZEN,
  /** The operation is performed and the connection is closed without a response. */
  ANSWER_LOST,
  /** The operation is performed and no response is sent. */
  ANSWER_LATE,
  /** The operation is performed after a delay and no response is sent. */
  EFFECT_LATE;

  private static final Duration DELAY = Duration.ofMillis(300);

  /** Returns the fault for its name in the admin API. */
  public static PlatformFault ofWireName(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
  }

  /**
   * Performs an operation with this fault. The result is the response, empty if the connection is
   * to be closed, and never completes if no response is sent.
   */
  <T> Mono<T> apply(Supplier<T> operation) {
    return switch (this) {
      case NONE -> Mono.fromSupplier(operation);
      case DOWN -> Mono.empty();
      case SLOW -> Mono.delay(DELAY).map(tick -> operation.get());
      case FROZEN -> Mono.never();
      case ANSWER_LOST -> Mono.fromSupplier(operation).then(Mono.empty());
      case ANSWER_LATE -> Mono.fromSupplier(operation).flatMap(response -> Mono.never());
      case EFFECT_LATE ->
          Mono.<T>never()
              .doOnSubscribe(subscription -> Mono.delay(DELAY).subscribe(tick -> operation.get()));
    };
  }
}
