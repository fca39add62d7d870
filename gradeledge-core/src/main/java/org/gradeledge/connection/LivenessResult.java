package org.gradeledge.connection;

/**
 * Result of the liveness check of an upstream after a connection with a call in flight was lost.
 *
 * @since 0.3
 */
public enum LivenessResult {
  /** A new connection was established: only the previous connection was lost. */
  THERE,
  /** A new connection was refused: no process listens on the address. */
  REFUSED,
  /**
   * The upstream had announced that it leaves or was removed from the list: its end was planned.
   */
  LEFT,
  /** The connection attempt failed otherwise: the upstream may have crashed or be unreachable. */
  SILENT;

  /** Returns the result that follows from an attempt to connect. */
  static LivenessResult of(PathCheck check) {
    return switch (check) {
      case REACHED -> THERE;
      case REFUSED -> REFUSED;
      case SILENT, UNAVAILABLE -> SILENT;
    };
  }
}
