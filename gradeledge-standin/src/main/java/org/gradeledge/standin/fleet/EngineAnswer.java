package org.gradeledge.standin.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.gradeledge.standin.fleet.EngineRun.Extent;

/**
 * Answer of an engine to a request.
 *
 * @param request the request
 * @param signature signature of the run
 * @param status status of the answer
 * @param framing how the answer shows where its body ends
 * @param contentType content type of the body
 * @param bodyParts parts of the body, such as the events of a stream
 * @param headerOrder seed of the order of the headers; 0 keeps the usual order
 */
record EngineAnswer(
    ReceivedRequest request,
    String signature,
    int status,
    AnswerFraming framing,
    String contentType,
    List<String> bodyParts,
    long headerOrder) {

  static final int OK = 200;
  static final int FAILED = 500;

  private static final String LINE_END = "\r\n";

  /** Returns the answer of the same run with another status, and the body that belongs to it. */
  EngineAnswer withStatus(int newStatus) {
    List<String> body = newStatus == OK ? List.of("surplus of " + signature) : List.of("failed");
    return new EngineAnswer(
        request, signature, newStatus, framing, "text/plain", body, headerOrder);
  }

  EngineAnswer withFraming(AnswerFraming newFraming) {
    return new EngineAnswer(
        request, signature, status, newFraming, contentType, bodyParts, headerOrder);
  }

  EngineAnswer withHeaderOrder(long newOrder) {
    return new EngineAnswer(request, signature, status, framing, contentType, bodyParts, newOrder);
  }

  /** Returns the status line and the headers. */
  String head() {
    List<String> headers = new ArrayList<>();
    headers.add("Content-Type: " + contentType);
    if (!requestId().isEmpty()) {
      headers.add("X-Request-Id: " + requestId());
    }
    headers.add("X-Response-Stamp: " + signature);
    headers.add(framing.header(body()));
    if (headerOrder != 0) {
      Collections.shuffle(headers, new Random(headerOrder));
    }
    return statusLine() + String.join(LINE_END, headers) + LINE_END + LINE_END;
  }

  private String statusLine() {
    return "HTTP/1.1 " + status + (status == OK ? " OK" : " Internal Server Error") + LINE_END;
  }

  /** Returns the whole answer as it is sent. */
  String text() {
    return head() + framing.encode(bodyParts);
  }

  String body() {
    return String.join("", bodyParts);
  }

  /** Returns the record of a run that sends the given extent of this answer. */
  EngineRun run(Extent extent) {
    return new EngineRun(signature, requestId(), request.path(), status, extent, body());
  }

  private String requestId() {
    return request.header("X-Request-Id");
  }
}
