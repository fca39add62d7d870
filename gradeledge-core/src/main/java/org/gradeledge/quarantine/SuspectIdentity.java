package org.gradeledge.quarantine;

/**
 * What makes two suspects the same at any box: a request, or a part of the prompt of requests.
 *
 * @since 0.3
 */
public interface SuspectIdentity {

  /** Returns a cheap hash, which is compared before the fingerprint is computed. */
  int shapeHash();

  /** Returns the fingerprint. */
  RequestFingerprint fingerprint();

  /**
   * Returns the rank by the number of requests that share the suspect: 0 for a single request; for
   * a part of a prompt its distance from the end of the prompt, as more requests share earlier
   * parts.
   */
  int breadth();
}
