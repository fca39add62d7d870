package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the handling of unusual and invalid requests, sent as raw bytes. */
@Timeout(60)
class FleetInvalidRequestTests {

  private static final String HOST_AND_KEY_HEADERS =
      "Host: 127.0.0.1\r\nAuthorization: Bearer " + Fleet.API_KEY + "\r\n";

  private static final int READ_TIMEOUT_MILLIS = 30_000;

  private final Fleet fleet = new Fleet();
  private FleetEngine plain;

  @BeforeEach
  void start() throws Exception {
    plain = fleet.addEngine("plain", EngineKind.PLAIN);
    fleet.startBox();
    fleet.awaitReady(0);
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  @Test
  void answersPipelinedRequestsInOrder() throws Exception {
    String responses;
    try (Socket socket = new Socket("127.0.0.1", fleet.callerPort(0))) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      send(
          socket,
          "GET /again/1 HTTP/1.1\r\nX-Request-Id: first\r\n"
              + HOST_AND_KEY_HEADERS
              + "\r\n"
              + "GET /again/2 HTTP/1.1\r\nX-Request-Id: second\r\n"
              + HOST_AND_KEY_HEADERS
              + "\r\n");
      responses = readUntil(socket, "to second");
    }

    assertThat(responses.indexOf("to first")).isPositive();
    assertThat(responses.indexOf("to second")).isGreaterThan(responses.indexOf("to first"));
  }

  @Test
  void forwardsWholeChunkedBody() throws Exception {
    String response =
        exchange(
            "POST /once/x HTTP/1.1\r\nX-Request-Id: a\r\nConnection: close\r\n"
                + HOST_AND_KEY_HEADERS
                + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n5\r\nwhole\r\n0\r\n\r\n");

    assertThat(response).startsWith("HTTP/1.1 200");
    assertThat(plain.executedRequests().get(0).body()).isEqualTo("halfwhole");
  }

  @Test
  void doesNotForwardTruncatedChunkedBody() throws Exception {
    try (Socket socket = new Socket("127.0.0.1", fleet.callerPort(0))) {
      send(
          socket,
          "POST /once/x HTTP/1.1\r\nX-Request-Id: a\r\n"
              + HOST_AND_KEY_HEADERS
              + "Transfer-Encoding: chunked\r\n\r\n9\r\nha");
    }
    String response =
        exchange("GET /again/1 HTTP/1.1\r\nConnection: close\r\n" + HOST_AND_KEY_HEADERS + "\r\n");

    assertThat(response).startsWith("HTTP/1.1 200");
    assertThat(plain.executedRequests()).noneMatch(request -> request.path().equals("/once/x"));
  }

  @Test
  void rejectsOversizedHeader() throws Exception {
    String response =
        exchange(
            "GET /again/x HTTP/1.1\r\n"
                + HOST_AND_KEY_HEADERS
                + "X-Long: "
                + "x".repeat(100_000)
                + "\r\n\r\n");

    assertThat(response).matches("(?s)HTTP/1.1 4(13|31|00).*");
    assertThat(plain.executedRequests()).isEmpty();
  }

  @Test
  void servesRequestWithoutIdOrDeadline() throws Exception {
    String response =
        exchange("GET /again/x HTTP/1.1\r\nConnection: close\r\n" + HOST_AND_KEY_HEADERS + "\r\n");

    assertThat(response).startsWith("HTTP/1.1 200");
    assertThat(plain.executedRequests().get(0).header("X-Deadline-Ms")).isNotEmpty();
  }

  @Test
  void rejectsRequestWithoutTimeLeft() throws Exception {
    String response =
        exchange(
            "GET /again/x HTTP/1.1\r\nX-Deadline-Ms: 0\r\nConnection: close\r\n"
                + HOST_AND_KEY_HEADERS
                + "\r\n");

    assertThat(response).matches("(?s)HTTP/1.1 50[34].*");
  }

  @Test
  void rejectsNonNumericDeadline() throws Exception {
    String response =
        exchange(
            "GET /again/x HTTP/1.1\r\nX-Deadline-Ms: soon\r\nConnection: close\r\n"
                + HOST_AND_KEY_HEADERS
                + "\r\n");

    assertThat(response).startsWith("HTTP/1.1 400");
    assertThat(plain.executedRequests()).isEmpty();
  }

  @Test
  void skipsUnreadableConfiguration() throws Exception {
    fleet.store().put("op", "config", "{\"version\":9,\"routes\":");
    fleet.configure(10, "," + FleetConfiguration.route("/new/", "idempotent", "plain", ""));

    Fleet.await(
        () ->
            exchange("GET /new/x HTTP/1.1\r\nConnection: close\r\n" + HOST_AND_KEY_HEADERS + "\r\n")
                .startsWith("HTTP/1.1 200"));
  }

  private String exchange(String bytes) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", fleet.callerPort(0))) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      send(socket, bytes);
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static String readUntil(Socket socket, String end) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int character = socket.getInputStream().read();
        character >= 0;
        character = socket.getInputStream().read()) {
      text.append((char) character);
      if (text.indexOf(end) >= 0) {
        break;
      }
    }
    return text.toString();
  }

  private static void send(Socket socket, String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
  }
}
