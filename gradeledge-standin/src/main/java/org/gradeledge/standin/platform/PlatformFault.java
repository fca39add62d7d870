package org.gradeledge.standin.platform;

import java.time.Duration;
import java.util.Locale;
import java.util.function.Supplier;
import reactor.core.publisher.Mono;

/** What may be wrong with the platform's calls. */
public enum PlatformFault {
  /** Nothing. */
  NONE,
  /** The connection is cut before any effect. */
  DOWN,
  /** The effect and the answer come late, but in time. */
  SLOW,
  /** No effect and no answer. */
  FROZEN,
  /** The effect takes place and the connection is cut. */
  ANSWER_LOST,
  /** The effect takes place and no answer comes. */
  ANSWER_LATE,
  /** No answer comes, and the effect takes place afterwards. */
  EFFECT_LATE;

  private static final Duration DELAY = Duration.ofMillis(300);

  /** Returns the fault with the given name on the admin port. */
  public static PlatformFault ofWireName(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
  }

  /**
   * Runs the effect of a call under this fault: the value is its answer, empty where the connection
   * is to be cut, never where it hangs.
   */
  <T> Mono<T> apply(Supplier<T> effect) {
    return switch (this) {
      case NONE -> Mono.fromSupplier(effect);
      case DOWN -> Mono.empty();
      case SLOW -> Mono.delay(DELAY).map(tick -> effect.get());
      case FROZEN -> Mono.never();
      case ANSWER_LOST -> Mono.fromSupplier(effect).then(Mono.empty());
      case ANSWER_LATE -> Mono.fromSupplier(effect).flatMap(answer -> Mono.never());
      case EFFECT_LATE ->
          Mono.<T>never().doOnSubscribe(s -> Mono.delay(DELAY).subscribe(tick -> effect.get()));
    };
  }
}
