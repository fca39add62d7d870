package org.gradeledge.standin.fleet;

import java.net.http.HttpResponse;
import java.util.List;

/**
 * An answer that a caller received.
 *
 * @param requestId id of the request, or an empty string
 * @param path path of the request
 * @param resumable whether a success may be continued by other runs than that of its signature
 * @param status status of the answer
 * @param answeredIds request ids that the answer bears
 * @param signatures signatures that the answer bears
 * @param body body of the answer, or an empty string for the head of a stream
 */
record ReceivedAnswer(
    String requestId,
    String path,
    boolean resumable,
    int status,
    List<String> answeredIds,
    List<String> signatures,
    String body) {

  /** Returns the answer to a request that has the given id, or none if that is empty. */
  static ReceivedAnswer of(
      String requestId, String path, boolean resumable, HttpResponse<?> response, String body) {
    return new ReceivedAnswer(
        requestId,
        path,
        resumable,
        response.statusCode(),
        response.headers().allValues("X-Request-Id"),
        response.headers().allValues("X-Response-Stamp"),
        body);
  }
}
