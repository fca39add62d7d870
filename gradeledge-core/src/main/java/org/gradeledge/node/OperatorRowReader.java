package org.gradeledge.node;

import java.util.Optional;

/**
 * Interprets the keys of the rows that an operator writes.
 *
 * @since 0.3
 */
public interface OperatorRowReader {

  /** Returns whether a row contains the configuration. */
  boolean isConfiguration(String key);

  /** Returns the availability zone that a row evacuates, or empty for other rows. */
  Optional<String> evacuatedZone(String key);
}
