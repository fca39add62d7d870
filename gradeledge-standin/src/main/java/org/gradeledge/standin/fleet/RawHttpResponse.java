package org.gradeledge.standin.fleet;

import java.nio.charset.StandardCharsets;

/** Formats HTTP/1.1 responses as raw text, so that tests can send malformed ones. */
abstract class RawHttpResponse {

  private RawHttpResponse() {}

  /** Returns a complete response to a request. */
  static String withBody(ReceivedRequest request, int status, String headers, String body) {
    return withBody(request.header("X-Request-Id"), status, headers, body);
  }

  /** Returns a complete response, with a request id unless that is empty. */
  static String withBody(String requestId, int status, String headers, String body) {
    String idHeader = requestId.isEmpty() ? "" : "X-Request-Id: " + requestId + "\r\n";
    int length = bytes(body).length;
    return "HTTP/1.1 "
        + status
        + " x\r\n"
        + idHeader
        + headers
        + "Content-Length: "
        + length
        + "\r\n\r\n"
        + body;
  }

  /** Returns a text as a chunk of a chunked transfer encoding. */
  static String chunk(String text) {
    return Integer.toHexString(bytes(text).length) + "\r\n" + text + "\r\n";
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
