package org.gradeledge.standin.measure;

import java.util.List;

/**
 * The boxes that decide by one policy.
 *
 * @param name name of the policy
 * @param boxes their callers' ports
 */
record PolicySet(String name, List<String> boxes) {

  /** Returns the set in a text of the form {@code name=host:port+host:port}. */
  static PolicySet parse(String text) {
    String[] parts = text.split("=");
    return new PolicySet(parts[0], List.of(parts[1].split("\\+")));
  }
}
