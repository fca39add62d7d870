package org.gradeledge.standin.fleet;

import java.util.List;
import java.util.stream.Collectors;

/** Ways in which an answer shows where its body ends. */
public enum AnswerFraming {
  /** By a content length. */
  LENGTH {
    @Override
    String header(String body) {
      return "Content-Length: " + RawHttpResponse.bytes(body).length;
    }
  },
  /** By the last chunk. */
  CHUNKED {
    @Override
    String header(String body) {
      return "Transfer-Encoding: chunked";
    }

    @Override
    String encode(List<String> bodyParts) {
      return bodyParts.stream().map(RawHttpResponse::chunk).collect(Collectors.joining())
          + LAST_CHUNK;
    }
  },
  /** By the end of the connection. */
  CONNECTION {
    @Override
    String header(String body) {
      return "Cache-Control: no-store";
    }
  };

  static final String LAST_CHUNK = "0\r\n\r\n";

  /** Returns a header line without its end. */
  abstract String header(String body);

  /** Returns the body as it is sent. */
  String encode(List<String> bodyParts) {
    return String.join("", bodyParts);
  }
}
