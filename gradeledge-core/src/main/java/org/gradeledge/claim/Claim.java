package org.gradeledge.claim;

/** A claim on an idempotency key that this box holds, with its row as written and its revision. */
public final class Claim {

  private final ClaimKey key;
  private final ClaimRecord record;
  private final long revision;

  Claim(ClaimKey key, ClaimRecord record, long revision) {
    this.key = key;
    this.record = record;
    this.revision = revision;
  }

  /** Returns the claimed key. */
  public ClaimKey key() {
    return key;
  }

  ClaimRecord record() {
    return record;
  }

  long revision() {
    return revision;
  }
}
