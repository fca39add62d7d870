package org.gradeledge.claim;

/** A claim that this box holds: its key, its row as written and the row's revision. */
public final class Claim {

  private final ClaimKey key;
  private final ClaimRecord record;
  private final long revision;

  Claim(ClaimKey key, ClaimRecord record, long revision) {
    this.key = key;
    this.record = record;
    this.revision = revision;
  }

  /** Returns what the claim is for. */
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
