package org.gradeledge.resumption;

import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * Result of a search for the origin of a stream.
 *
 * @param outcome who knew the origin, or why it is not known
 * @param originHash {@link StreamOrigin#hash} of the origin, if it is known for certain
 * @since 0.3
 */
public record OriginLookup(Outcome outcome, Optional<Long> originHash) {

  /** Who knew the origin of a stream, or why it is not known. */
  public enum Outcome {
    /** This box forwarded or stored the beginning of the stream. */
    OWN_RECORD,
    /** Another box knew it. */
    REPLICA,
    /** It was found in the archive that outlasts all boxes. */
    ARCHIVE,
    /** No box that was asked knows the stream. */
    UNKNOWN,
    /** There are records of several origins, so that none of them counts. */
    CONTRADICTORY;

    /** Returns the name in log lines and metrics. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  static OriginLookup unknown() {
    return new OriginLookup(Outcome.UNKNOWN, Optional.empty());
  }

  /** Returns the result for the origins that one box has recorded. */
  static OriginLookup of(Outcome source, Set<Long> originHashes) {
    return switch (originHashes.size()) {
      case 0 -> unknown();
      case 1 -> new OriginLookup(source, originHashes.stream().findFirst());
      default -> new OriginLookup(Outcome.CONTRADICTORY, Optional.empty());
    };
  }
}
