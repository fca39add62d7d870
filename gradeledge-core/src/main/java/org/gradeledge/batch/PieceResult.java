package org.gradeledge.batch;

import java.util.Optional;

/**
 * The response of an upstream for one piece.
 *
 * @param kind kind of the response
 * @param handle handle of the result, if there is one
 * @since 0.2
 */
public record PieceResult(Kind kind, Optional<String> handle) {

  /** The kinds of responses for a piece. */
  public enum Kind {
    /** The piece was computed. */
    MADE,
    /** The remaining time had passed before the upstream started the piece. */
    LATE,
    /** An input is no longer stored. */
    GONE,
    /** The upstream has no free memory for the result. */
    NO_ROOM,
    /** The upstream failed to compute the piece. */
    ERROR
  }
}
