package org.gradeledge.platform;

import org.gradeledge.verdict.GradeledgeException;
import org.jspecify.annotations.Nullable;

/**
 * A call to the platform failed with unknown outcome; a write may have taken effect.
 *
 * @since 0.1
 */
public final class PlatformException extends GradeledgeException {

  /** Creates an exception with a message that describes the call. */
  public PlatformException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }
}
