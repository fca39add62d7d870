package org.gradeledge.verdict;

import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A request that gets no result: its verdict, reason, stage and when to come back.
 *
 * <p>Immutable. Built by {@link #forReason(RefusalReason)}; the verdict is {@link Verdict#NOT_RUN}
 * unless another is set.
 *
 * @since 0.1
 */
public final class RefusalException extends GradeledgeException {

  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

  private final transient Verdict verdict;
  private final transient RefusalReason reason;
  private final transient Optional<String> stage;
  private final transient Optional<Duration> retryAfter;

  private RefusalException(Builder builder) {
    super(builder.detail, builder.cause);
    this.verdict = builder.verdict;
    this.reason = builder.reason;
    this.stage = Optional.ofNullable(builder.stage);
    this.retryAfter =
        reason.isRetryable()
            ? Optional.of(builder.retryAfter == null ? DEFAULT_RETRY_AFTER : builder.retryAfter)
            : Optional.empty();
  }

  /** Starts a refusal for the given reason. */
  public static Builder forReason(RefusalReason reason) {
    return new Builder(reason);
  }

  /** Returns whether the request may have run. */
  public Verdict verdict() {
    return verdict;
  }

  /** Returns why there is no result. */
  public RefusalReason reason() {
    return reason;
  }

  /** Returns the stage at which the request ended, where it had reached one. */
  public Optional<String> stage() {
    return stage;
  }

  /** Returns how long the caller should wait before it asks again, where that may help. */
  public Optional<Duration> retryAfter() {
    return retryAfter;
  }

  /** Returns a copy whose verdict also covers what had run before. */
  public RefusalException withEarlierVerdict(Verdict earlier) {
    return forReason(reason)
        .verdict(verdict.combine(earlier))
        .stage(stage.orElse(null))
        .detail(getMessage())
        .retryAfter(retryAfter.orElse(null))
        .cause(getCause())
        .build();
  }

  /** Builds a {@link RefusalException}. */
  public static final class Builder {

    private final RefusalReason reason;
    private Verdict verdict = Verdict.NOT_RUN;
    private String detail;
    private @Nullable String stage;
    private @Nullable Duration retryAfter;
    private @Nullable Throwable cause;

    private Builder(RefusalReason reason) {
      this.reason = reason;
      this.detail = reason.wireName();
    }

    /** Sets whether the request may have run. */
    public Builder verdict(Verdict value) {
      this.verdict = value;
      return this;
    }

    /** Sets the text for a person; it must hold no secret. */
    public Builder detail(@Nullable String value) {
      this.detail = value == null ? reason.wireName() : value;
      return this;
    }

    /** Sets the stage at which the request ended. */
    public Builder stage(@Nullable String value) {
      this.stage = value;
      return this;
    }

    /** Sets the time to wait before asking again; ignored where asking again cannot help. */
    public Builder retryAfter(@Nullable Duration value) {
      this.retryAfter = value;
      return this;
    }

    /** Sets the cause. */
    public Builder cause(@Nullable Throwable value) {
      this.cause = value;
      return this;
    }

    /** Returns the exception. */
    public RefusalException build() {
      return new RefusalException(this);
    }
  }
}
