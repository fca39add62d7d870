package org.gradeledge.verdict;

import org.jspecify.annotations.Nullable;

/**
 * Root of the exceptions that this library throws on purpose.
 *
 * @since 0.1
 */
public abstract class GradeledgeException extends RuntimeException {

  /** Creates an exception whose message names the place and what must hold there. */
  protected GradeledgeException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }
}
