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
   * Returns how many requests the suspect stands for: 0 for a single request, for a part of a
   * prompt its distance from the end of the prompt, as earlier parts are shared by more requests.
   */
  int breadth();
}
