package org.gradeledge.node;

import java.util.Optional;

/**
 * Tells from a row's key what the operator orders by it.
 *
 * @since 0.3
 */
public interface OperatorRowReader {

  /** Returns whether a row holds the configuration. */
  boolean isConfiguration(String key);

  /** Returns the zone that is evacuated as long as the row is there, empty for other rows. */
  Optional<String> evacuatedZone(String key);
}
