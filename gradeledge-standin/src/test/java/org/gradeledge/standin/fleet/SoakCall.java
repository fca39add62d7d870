package org.gradeledge.standin.fleet;

import java.util.Optional;

/**
 * One request of the soak as its caller saw it.
 *
 * @param id its id
 * @param path its path
 * @param box number of the box that was asked
 * @param life which process of that box was asked
 * @param sentMillis when it was sent
 * @param endMillis when it ended
 * @param status status of the answer, empty where the connection ended without a whole answer
 * @param body body of the answer
 */
record SoakCall(
    String id,
    String path,
    int box,
    int life,
    long sentMillis,
    long endMillis,
    Optional<Integer> status,
    String body) {

  boolean hasStatus(int wanted) {
    return status.filter(answered -> answered == wanted).isPresent();
  }

  boolean hasPathPrefix(String prefix) {
    return path.startsWith(prefix);
  }
}
