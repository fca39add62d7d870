package org.gradeledge.discovery;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Collections;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * The availability zones whose upstreams take nothing new, as the operator has ordered it. Of two
 * states the one of the higher revision holds, whoever told it.
 *
 * @param revision revision of the platform's table of orders at which they were read; -1 where
 *     nothing is known yet
 * @param zones the zones, in the order of their names
 * @since 0.3
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ZoneEvacuations(long revision, Set<String> zones) {

  /** What a box knows before it has read or heard anything. */
  public static final ZoneEvacuations UNKNOWN = new ZoneEvacuations(-1, Set.of());

  /** Checks the parts. */
  public ZoneEvacuations {
    Objects.requireNonNull(zones, "zones must be given");
    zones = Collections.unmodifiableSet(new TreeSet<>(zones));
  }

  /** Returns whether this state holds against another one. */
  public boolean isNewerThan(ZoneEvacuations other) {
    return revision > other.revision;
  }
}
