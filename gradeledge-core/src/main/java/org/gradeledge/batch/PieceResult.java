package org.gradeledge.batch;

import java.util.Optional;

/**
 * What an upstream answered for one piece.
 *
 * @param kind what came of it
 * @param handle where the result lies, if there is one
 * @since 0.2
 */
public record PieceResult(Kind kind, Optional<String> handle) {

  /** What can come of a piece. */
  public enum Kind {
    /** There is a result. */
    MADE,
    /** The time left had run out when its turn came. */
    LATE,
    /** An input is gone. */
    GONE,
    /** The upstream has no room for the result. */
    NO_ROOM,
    /** It failed. */
    ERROR
  }
}
