package org.gradeledge.claim;

import org.gradeledge.configuration.TextDigest;

/**
 * What a claim is for: one idempotency key of one client account of one pipeline.
 *
 * @param pipeline name of the pipeline
 * @param account name of the client account
 * @param idempotencyKey the key that the caller chose
 * @since 0.1
 */
public record ClaimKey(String pipeline, String account, String idempotencyKey) {

  /** Returns the key of the claim's row; the caller's key is digested, as it may be of any form. */
  public String rowKey() {
    return "claim/" + pipeline + "/" + account + "/" + TextDigest.sha256(idempotencyKey);
  }
}
