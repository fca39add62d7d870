package org.gradeledge.connection;

/**
 * What a new connection to an upstream shows, opened right after one with a call on it was lost.
 *
 * @since 0.3
 */
public enum UpstreamProof {
  /** It was opened: the upstream is there, and only the connection was lost. */
  THERE,
  /** It was refused: nobody listens there any more. */
  REFUSED,
  /** There was no answer: the upstream may have ended, or cannot be reached from here. */
  SILENT
}
