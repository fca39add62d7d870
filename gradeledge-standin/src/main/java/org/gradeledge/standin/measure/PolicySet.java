package org.gradeledge.standin.measure;

import java.util.List;

/**
 * Boxes that run with the same policy.
 *
 * @param name name of the policy
 * @param boxes addresses of their caller ports
 */
record PolicySet(String name, List<String> boxes) {

  /** Parses a text of the form {@code name=host:port+host:port}. */
  static PolicySet parse(String text) {
    String[] parts = text.split("=");
    return new PolicySet(parts[0], List.of(parts[1].split("\\+")));
  }
}
