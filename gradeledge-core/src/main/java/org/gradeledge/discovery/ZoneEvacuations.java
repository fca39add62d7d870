package org.gradeledge.discovery;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Collections;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * An evacuation order: the availability zones that accept no new requests. The order with the
 * highest revision applies, whichever box reported it.
 *
 * @param revision revision of the order table at which the order was read; -1 if none was read
 * @param zones evacuated zones, sorted by name
 * @since 0.3
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ZoneEvacuations(long revision, Set<String> zones) {

  /** The state before any order is received. */
  public static final ZoneEvacuations UNKNOWN = new ZoneEvacuations(-1, Set.of());

  /** Copies and sorts the zones. */
  public ZoneEvacuations {
    Objects.requireNonNull(zones, "zones must be given");
    zones = Collections.unmodifiableSet(new TreeSet<>(zones));
  }

  /** Returns whether this order replaces another one. */
  public boolean isNewerThan(ZoneEvacuations other) {
    return revision > other.revision;
  }
}
