package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests what a caller gets that sends several requests before it reads the first answer. */
@Timeout(60)
class FleetPipelinedRequestsTests {

  private static final int REQUESTS = 10;
  private static final int READ_TIMEOUT_MILLIS = 20_000;
  private static final String ID = "x-request-id: ";
  private static final String LENGTH = "content-length: ";

  private final Fleet fleet = new Fleet();
  private FleetEngine engine;

  @BeforeEach
  void start() throws Exception {
    engine = fleet.addEngine("plain", EngineKind.PLAIN);
    fleet.startBox();
    fleet.awaitReady(0);
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  // Guards against an answer that a caller takes for that to an earlier or later request.
  @ParameterizedTest
  @EnumSource(
      value = EngineFault.class,
      names = {"NONE", "OTHERS_ANSWER_FIRST", "EXTRA_ANSWER"})
  void answersAreInTheOrderOfTheRequests(EngineFault fault) throws Exception {
    engine.setFault(fault);
    try (Socket connection = new Socket(InetAddress.getLoopbackAddress(), fleet.callerPort(0))) {
      connection.setSoTimeout(READ_TIMEOUT_MILLIS);
      BufferedReader in = send(connection, number -> request("GET", number));

      for (int number = 0; number < REQUESTS; number++) {
        assertThat(readAnswer(in)).isEqualTo("200 r" + number + " to r" + number);
      }
    }
  }

  // Guards against the content that an upstream sends to HEAD and that becomes part of the next
  // answer.
  @Test
  void answersToHeadHaveNoContentAndAreFollowedByTheNextOnes() throws Exception {
    try (Socket connection = new Socket(InetAddress.getLoopbackAddress(), fleet.callerPort(0))) {
      connection.setSoTimeout(READ_TIMEOUT_MILLIS);
      BufferedReader in =
          send(connection, number -> request(number % 2 == 0 ? "HEAD" : "GET", number));

      for (int number = 0; number < REQUESTS; number += 2) {
        assertThat(readHead(in)).startsWith("200", "r" + number);
        assertThat(readAnswer(in)).isEqualTo("200 r" + (number + 1) + " to r" + (number + 1));
      }
    }
  }

  private static BufferedReader send(Socket connection, IntFunction<String> requests)
      throws IOException {
    String text = IntStream.range(0, REQUESTS).mapToObj(requests).collect(Collectors.joining());
    connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    return new BufferedReader(
        new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
  }

  private static String request(String method, int number) {
    return method
        + " /again/x HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Bearer "
        + Fleet.API_KEY
        + "\r\nX-Deadline-Ms: 9000\r\nX-Request-Id: r"
        + number
        + "\r\n\r\n";
  }

  /** Reads a head; returns the status, the id and the length. */
  private static List<String> readHead(BufferedReader in) throws IOException {
    String status = in.readLine().split(" ")[1];
    String id = "";
    String length = "0";
    for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
      String header = line.toLowerCase(Locale.ROOT);
      id = header.startsWith(ID) ? header.substring(ID.length()) : id;
      length = header.startsWith(LENGTH) ? header.substring(LENGTH.length()) : length;
    }
    return List.of(status, id, length);
  }

  /** Reads an answer; returns its status, its id and the id in its body. */
  private static String readAnswer(BufferedReader in) throws IOException {
    List<String> head = readHead(in);
    char[] body = new char[Integer.parseInt(head.get(2))];
    for (int read = 0; read < body.length; read++) {
      body[read] = (char) in.read();
    }
    String text = new String(body);
    return head.get(0) + " " + head.get(1) + text.substring(Math.max(0, text.lastIndexOf(" to ")));
  }
}
