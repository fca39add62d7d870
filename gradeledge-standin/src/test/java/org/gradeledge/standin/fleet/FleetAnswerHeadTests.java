package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what callers get from an upstream whose answer has an unusual head, as raw bytes. */
@Timeout(60)
class FleetAnswerHeadTests {

  private static final int READ_TIMEOUT_MILLIS = 30_000;

  private final Fleet fleet = new Fleet();

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  // Guards against a status that is none and reaches a caller, as it is or as another one.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "000", "0", "099", "20", "-01", "2OO", "101", "600", "999", "0200", "+200", "00200", "2e2"
      })
  void statusThatIsNoneIsNoAnswer(String status) throws Exception {
    String response =
        answerOf("GET", "HTTP/1.1 " + status + " OK\r\n%sContent-Length: 5\r\n\r\nwhole");

    assertThat(response).startsWith("HTTP/1.1 502");
    assertThat(response).doesNotContain("whole").doesNotContain("stamp");
  }

  // Guards against a caller that waits for a body, or takes the next answer for it.
  @ParameterizedTest
  @ValueSource(strings = {"Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n"})
  void headThatClaimsABodyWhereNoneMayBeIsNoAnswer(String header) throws Exception {
    String response = answerOf("GET", "HTTP/1.1 204 No Content\r\n%s" + header + "\r\n");

    assertThat(response).startsWith("HTTP/1.1 502");
  }

  // Guards against lengths of answers without a body that differ from what the upstream said.
  @ParameterizedTest
  @CsvSource({"GET,204,0,", "GET,204,,", "HEAD,200,5,5", "HEAD,200,,", "GET,200,0,0"})
  void lengthWithoutABodyIsThatOfTheUpstream(
      String method, String status, String length, String expected) throws Exception {
    String header = length == null ? "" : "Content-Length: " + length + "\r\n";
    String head = "HTTP/1.1 " + status + " OK\r\n%s" + header + "\r\n";

    String response = answerOf(method, head).toLowerCase(Locale.ROOT);

    assertThat(response).startsWith("http/1.1 " + status).contains("x-response-stamp: stamp");
    if (expected == null) {
      assertThat(response).doesNotContain("content-length");
    } else {
      assertThat(response).contains("content-length: " + expected + "\r\n");
    }
  }

  /** Returns what a caller gets; the id of the request and a stamp replace {@code %s}. */
  private String answerOf(String method, String answer) throws Exception {
    try (ScriptedEngine engine =
        new ScriptedEngine(
            "i-plain",
            (request, out) ->
                ScriptedEngine.write(
                    out,
                    answer.replace(
                        "%s",
                        "X-Request-Id: "
                            + request.header("X-Request-Id")
                            + "\r\nX-Response-Stamp: stamp\r\n")))) {
      engine.register(fleet.store(), "plain");
      fleet.startBoxes(1);
      return exchange(method);
    }
  }

  private String exchange(String method) throws IOException {
    String request =
        method
            + " /again/x HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
            + "X-Request-Id: r\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer "
            + Fleet.API_KEY
            + "\r\n\r\n";
    try (Socket socket = new Socket("127.0.0.1", fleet.callerPort(0))) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }
}
