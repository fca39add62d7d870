package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.gradeledge.standin.fleet.EngineRun.Extent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests what the stand-in engine sends where its answers deviate, and what it records. */
@Timeout(20)
class FleetEngineDeviationTests {

  private static final String BODY = "answer of i-plain to ";
  private static final int SEEDS = 50;

  private final FleetEngine engine = new FleetEngine("i-plain", EngineKind.PLAIN);
  private Socket socket;

  @BeforeEach
  void connect() throws IOException {
    String address = engine.address();
    int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
  }

  @AfterEach
  void close() throws IOException {
    socket.close();
    engine.close();
  }

  @Test
  void signsEachRunDifferently() throws IOException {
    send(request("a"));
    readUntil(BODY + "a");
    send(request("b"));

    assertThat(readUntil(BODY + "b")).contains("X-Response-Stamp: i-plain.0.2\r\n");
    assertThat(engine.runs())
        .containsExactly(
            new EngineRun("i-plain.0.1", "a", "/x", 200, Extent.WHOLE, BODY + "a"),
            new EngineRun("i-plain.0.2", "b", "/x", 200, Extent.WHOLE, BODY + "b"));
  }

  @ParameterizedTest
  @EnumSource(SurplusTiming.class)
  void sendsPartOfSecondAnswerWithOtherStatus(SurplusTiming timing) throws IOException {
    deviate(new SurplusAnswer(timing, true, AnswerFraming.LENGTH, AnswerCut.REASON_PHRASE));

    send(request("a"));
    readUntil(BODY + "a");
    engine.deviations().end();
    if (timing == SurplusTiming.BEFORE_NEXT_ANSWER) {
      send(request("b"));
    }

    assertThat(readUntil("HTTP/1.1 500 I")).isEqualTo("HTTP/1.1 500 I");
  }

  @ParameterizedTest
  @EnumSource(AnswerFraming.class)
  void sendsWholeSecondAnswerAfterFailure(AnswerFraming framing) throws IOException {
    deviate(
        new FailedAnswer(1),
        new SurplusAnswer(SurplusTiming.AT_ONCE, true, framing, AnswerCut.WHOLE));

    send(request("a"));

    String failure = readUntil("\r\n\r\nfailed");
    String success = readUntil("surplus of i-plain.0.1");
    assertThat(failure).startsWith("HTTP/1.1 500 ").contains("X-Request-Id: a\r\n");
    assertThat(success).startsWith("HTTP/1.1 200 ").contains("X-Request-Id: a\r\n");
    assertThat(engine.runs())
        .containsExactly(new EngineRun("i-plain.0.1", "a", "/x", 500, Extent.WHOLE, "failed"));
  }

  @Test
  void recordsNoHeadWhereHeadStops() throws IOException {
    deviate(AnswerInterruption.HEAD_THEN_CLOSE);

    send(request("a"));

    assertThat(readAll()).startsWith("H").doesNotContain("\r\n\r\n");
    assertThat(engine.runs().get(0).headStatus()).isEmpty();
  }

  @Test
  void recordsHeadWhereBodyStops() throws IOException {
    deviate(AnswerInterruption.BODY_THEN_CLOSE);

    send(request("a"));

    assertThat(readAll()).contains("\r\n\r\n").doesNotEndWith(BODY + "a");
    assertThat(engine.runs().get(0).headStatus()).contains(200);
    assertThat(engine.runs().get(0).answeredStatus()).isEmpty();
  }

  @Test
  void sendsWholeAnswerInPieces() throws IOException {
    deviate(AnswerInterruption.PIECES);

    send(request("a"));

    assertThat(readUntil(BODY + "a")).startsWith("HTTP/1.1 200 OK\r\n");
    assertThat(engine.runs().get(0).answeredStatus()).contains(200);
  }

  @Test
  void answersBeforeItReadsTheBody() throws IOException {
    deviate(new EarlyAnswer());

    send("POST /x HTTP/1.1\r\nX-Expect-Instance: i-plain\r\nX-Request-Id: a\r\n");
    send("Content-Length: 6\r\n\r\n");
    readUntil(BODY + "a");
    engine.deviations().end();
    send("a body" + request("b"));
    readUntil(BODY + "b");

    assertThat(engine.readAfterAnswer())
        .extracting(ReceivedRequest::body)
        .containsExactly("a body");
  }

  // Guards against bytes before an announcement, which would keep callers from reading it.
  @Test
  void resetsDeviatingConnectionsWhenItAnnouncesSomething() throws IOException {
    deviate(
        new SurplusAnswer(
            SurplusTiming.BEFORE_NEXT_ANSWER, true, AnswerFraming.LENGTH, AnswerCut.HEAD));
    send(request("a"));
    readUntil(BODY + "a");

    engine.announcements().announceLeaving("1");

    assertThat(isEnded()).isTrue();
  }

  @Test
  void drawsTheSameDeviationsFromTheSameSeed() {
    List<List<AnswerDeviation>> drawn = drawFromSeeds();

    assertThat(drawFromSeeds()).isEqualTo(drawn);
    assertThat(drawn).anyMatch(each -> each.size() == 1).anyMatch(each -> each.size() == 2);
  }

  private static List<List<AnswerDeviation>> drawFromSeeds() {
    return IntStream.range(0, SEEDS)
        .mapToObj(seed -> DrawnDeviation.drawOneOrTwo(new Random(seed)))
        .toList();
  }

  private void deviate(AnswerDeviation... deviations) {
    engine.deviations().begin(List.of(deviations), 1, 1);
  }

  private static String request(String id) {
    return "GET /x HTTP/1.1\r\nX-Expect-Instance: i-plain\r\nX-Request-Id: " + id + "\r\n\r\n";
  }

  private void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Reads until the received text ends with the given one. */
  private String readUntil(String end) throws IOException {
    StringBuilder text = new StringBuilder();
    InputStream in = socket.getInputStream();
    while (text.lastIndexOf(end) < 0) {
      int next = in.read();
      assertThat(next).as("connection ended after " + text).isNotNegative();
      text.append((char) next);
    }
    return text.toString();
  }

  private String readAll() throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  private boolean isEnded() {
    try {
      return socket.getInputStream().read() < 0;
    } catch (IOException e) {
      return true;
    }
  }
}
