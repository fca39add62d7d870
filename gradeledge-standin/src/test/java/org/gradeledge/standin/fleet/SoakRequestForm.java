package org.gradeledge.standin.fleet;

import java.net.http.HttpRequest;

/** Forms of the requests of soak callers. */
enum SoakRequestForm {
  /** With a body and a request id. */
  POST {
    @Override
    HttpRequest.Builder complete(HttpRequest.Builder builder, String id) {
      return builder.header("X-Request-Id", id).POST(HttpRequest.BodyPublishers.ofString(BODY));
    }
  },
  /** Without a body. */
  GET {
    @Override
    HttpRequest.Builder complete(HttpRequest.Builder builder, String id) {
      return builder.header("X-Request-Id", id).GET();
    }
  },
  /** Without a request id; engines do not run it. */
  WITHOUT_ID {
    @Override
    String requestId(String id) {
      return "";
    }

    @Override
    HttpRequest.Builder complete(HttpRequest.Builder builder, String id) {
      return builder.GET();
    }
  };

  /** Body of the requests that have one. */
  static final String BODY = "a body";

  private static final int GET_INTERVAL = 3;
  private static final int WITHOUT_ID_INTERVAL = 13;

  /** Returns the form of a caller's request with the given number. */
  static SoakRequestForm ofRequest(int number) {
    if (number % WITHOUT_ID_INTERVAL == WITHOUT_ID_INTERVAL - 1) {
      return WITHOUT_ID;
    }
    return number % GET_INTERVAL == 0 ? GET : POST;
  }

  /** Returns the request id that is sent, or an empty string. */
  String requestId(String id) {
    return id;
  }

  abstract HttpRequest.Builder complete(HttpRequest.Builder builder, String id);
}
