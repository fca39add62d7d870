package org.gradeledge.connection;

/**
 * What is shown of an upstream right after a connection with a call on it was lost, mostly by a new
 * connection.
 *
 * @since 0.3
 */
public enum LivenessResult {
  /** It was opened: the upstream is there, and only the connection was lost. */
  THERE,
  /** It was refused: nobody listens there any more. */
  REFUSED,
  /** It had left before, as it had said or its entry was gone: it ends as planned. */
  LEFT,
  /** There was no answer: the upstream may have ended, or cannot be reached from here. */
  SILENT
}
