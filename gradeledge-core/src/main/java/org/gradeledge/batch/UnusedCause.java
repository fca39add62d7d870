package org.gradeledge.batch;

import java.util.Locale;

/** Why an upstream, or a place in a call to it, is not used although pieces wait. */
enum UnusedCause {
  /** The upstream failed recently. */
  AVOIDED,
  /** Another box has a call in flight to it. */
  PEER_CALL,
  /** Its rate limit or its request for backoff does not allow a call yet. */
  LIMIT,
  /** A call to it is expected to complete later than one that waits for another upstream. */
  SLOW,
  /** It has no memory for the results. */
  MEMORY,
  /** The waiting pieces wait for an upstream of their own zone. */
  LOCALITY,
  /** The waiting groups are larger than what is left of the call, or must not share it. */
  GROUP;

  /** Returns the name in logs. */
  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
