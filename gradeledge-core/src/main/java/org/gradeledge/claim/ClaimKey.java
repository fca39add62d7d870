package org.gradeledge.claim;

import org.gradeledge.configuration.TextDigest;

/**
 * An idempotency key, scoped to a client account of a pipeline.
 *
 * @param pipeline name of the pipeline
 * @param account name of the client account
 * @param idempotencyKey key that the caller sent
 * @since 0.1
 */
public record ClaimKey(String pipeline, String account, String idempotencyKey) {

  /** Returns the row key; it contains a digest because the caller's key can have any characters. */
  public String rowKey() {
    return "claim/" + pipeline + "/" + account + "/" + TextDigest.sha256(idempotencyKey);
  }
}
