package org.gradeledge.platform;

import org.gradeledge.verdict.GradeledgeException;
import org.jspecify.annotations.Nullable;

/**
 * The platform did not answer, or not in a way that tells what it did: a write may or may not have
 * taken effect.
 *
 * @since 0.1
 */
public final class PlatformException extends GradeledgeException {

  /** Creates an exception that names the call. */
  public PlatformException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }
}
