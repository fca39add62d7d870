package org.gradeledge.relay;

import org.gradeledge.quarantine.Quarantine;
import org.gradeledge.quarantine.RequestFingerprint;
import org.gradeledge.quarantine.SuspectIdentity;
import org.jspecify.annotations.Nullable;

/**
 * A request or a part of its prompt, as known to the {@link Quarantine}. The fingerprint is only
 * computed if a suspect has the same shape. Confined to the event loop.
 */
final class SuspectKey {

  private final Quarantine quarantine;
  private final SuspectIdentity identity;
  private @Nullable RequestFingerprint fingerprint;

  SuspectKey(Quarantine quarantine, SuspectIdentity identity) {
    this.quarantine = quarantine;
    this.identity = identity;
  }

  SuspectIdentity identity() {
    return identity;
  }

  RequestFingerprint fingerprint() {
    if (fingerprint == null) {
      fingerprint = identity.fingerprint();
    }
    return fingerprint;
  }

  boolean isQuarantined() {
    return isShapeKnown() && quarantine.isQuarantined(fingerprint());
  }

  /** Returns whether crashes count against it. */
  boolean isSuspect() {
    return isShapeKnown() && quarantine.crashCount(fingerprint()) > 0;
  }

  void recordCrash(String incarnationId) {
    quarantine.recordCrash(fingerprint(), identity.breadth(), incarnationId);
  }

  void recordSuccess() {
    if (isShapeKnown()) {
      quarantine.recordSuccess(fingerprint());
    }
  }

  private boolean isShapeKnown() {
    return quarantine.hasShapeHash(identity.shapeHash());
  }
}
