package org.gradeledge.verdict;

import org.jspecify.annotations.Nullable;

/**
 * Base class of the exceptions of this library.
 *
 * @since 0.1
 */
public abstract class GradeledgeException extends RuntimeException {

  /** Creates an exception with a message and an optional cause. */
  protected GradeledgeException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }
}
