package org.gradeledge.standin.fleet;

import java.util.Optional;

/**
 * A request of a soak caller and its result.
 *
 * @param id id of the request
 * @param path path of the request
 * @param box number of the box that received it
 * @param incarnation incarnation of the process of that box
 * @param sentMillis time at which it was sent
 * @param endMillis time at which it ended
 * @param status status of the response, empty if the connection ended before a complete response
 * @param body body of the response, or text of the exception
 */
record SoakCall(
    String id,
    String path,
    int box,
    int incarnation,
    long sentMillis,
    long endMillis,
    Optional<Integer> status,
    String body) {

  boolean hasStatus(int expected) {
    return status.filter(actual -> actual == expected).isPresent();
  }

  boolean hasPathPrefix(String prefix) {
    return path.startsWith(prefix);
  }
}
