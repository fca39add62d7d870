package org.gradeledge.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.gradeledge.configuration.StageDefinition;
import org.gradeledge.configuration.StageKind;
import org.gradeledge.configuration.UpstreamDefinition;
import org.gradeledge.connection.ScriptedUpstream;
import org.gradeledge.connection.ScriptedUpstream.End;
import org.gradeledge.metrics.BoxMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Calls to upstreams over the project's own interface whose responses are not whole. */
@Timeout(60)
class CutUpstreamResponseTests {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int MAX_RESPONSE_BYTES = 1_000;
  private static final String FAILED = "failed";
  private static final String PATH = "/stage";
  private static final String BODY = "{\"text\":\"whole\"}";
  private static final String EVENTS =
      "id: 0\ndata: {\"choices\":[{\"text\":\"all\"}]}\n\n"
          + "data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n";

  private final ScriptedUpstream upstream = new ScriptedUpstream();
  private final ConnectionProvider connections = ConnectionProvider.create("upstream-test", 1);
  private final HttpUpstreamProtocol protocol =
      new HttpUpstreamProtocol(
          HttpClient.create(connections).disableRetry(true),
          MAX_RESPONSE_BYTES,
          new BoxMetrics(),
          definition -> {});

  @AfterEach
  void stop() throws IOException {
    upstream.close();
    connections.disposeLater().block(TIMEOUT);
  }

  private static Stream<Arguments> wholeResponses() {
    return Stream.of(
            Arguments.of(StageKind.SERVICE, head("r") + withLength(BODY), "answer " + BODY),
            Arguments.of(StageKind.SERVICE, head("r") + inChunks(BODY), "answer " + BODY),
            Arguments.of(StageKind.GENERATE, head("r") + inChunks(EVENTS), "token all answer {}"),
            Arguments.of(StageKind.GENERATE, head("r") + withLength(EVENTS), "token all answer {}"))
        .flatMap(
            each ->
                Stream.of(End.CLOSE, End.RESET)
                    .map(end -> Arguments.of(each.get()[0], each.get()[1], each.get()[2], end)));
  }

  // Guards against a response that ends in its head or body and is passed on as a whole one.
  @ParameterizedTest
  @MethodSource("wholeResponses")
  void failsAfterEachByteButTheLast(StageKind kind, String response, String outcome, End end) {
    for (int length = 0; length < response.length(); length++) {
      upstream.respond(PATH, response.substring(0, length), end);

      assertThat(call(kind, "r")).as("after %d bytes", length).endsWith(FAILED);
    }
    upstream.respond(PATH, response, end);
    assertThat(call(kind, "r")).isEqualTo(outcome);
  }

  // Guards against an empty or short body without a length, which ends with its connection.
  @ParameterizedTest
  @EnumSource(
      value = StageKind.class,
      names = {"SERVICE", "GENERATE"})
  void failsAfterEachByteOfAResponseWithoutLength(StageKind kind) {
    String response = head("r") + "\r\n" + (kind == StageKind.SERVICE ? BODY : EVENTS);
    for (int length = 0; length < response.length() - 1; length++) {
      for (End end : List.of(End.CLOSE, End.RESET)) {
        upstream.respond(PATH, response.substring(0, length), end);

        assertThat(call(kind, "r")).as("after %d bytes", length).endsWith(FAILED);
      }
    }
  }

  // Guards against a success that has the status of a surplus response and the ids of a refusal.
  @ParameterizedTest
  @ValueSource(strings = {"after the response", "before the response"})
  void callNeverGetsPartsOfASurplusResponse(String place) {
    String surplus = head("earlier") + withLength(BODY);
    String refusal = head("r").replace("200 OK", "503 Full") + withLength("{\"text\":\"no\"}");
    for (int length = 1; length <= surplus.length(); length++) {
      String part = surplus.substring(0, length);
      if (place.startsWith("after")) {
        upstream.respond(PATH, head("first") + withLength(BODY) + part, End.SILENCE);
        assertThat(call(StageKind.SERVICE, "first")).isIn("answer " + BODY, FAILED);
        upstream.respond(PATH, refusal, End.CLOSE);
      } else {
        upstream.respond(PATH, part + refusal, End.CLOSE);
      }

      assertThat(call(StageKind.SERVICE, "r")).as("after %d bytes", length).isEqualTo(FAILED);
    }
  }

  private static String head(String id) {
    return "HTTP/1.1 200 OK\r\nGradeledge-Request-Id: "
        + id
        + "\r\nGradeledge-Stage: stage\r\nGradeledge-Attempt: 1\r\n";
  }

  private static String withLength(String body) {
    return "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static String inChunks(String body) {
    return "Transfer-Encoding: chunked\r\n\r\n"
        + Integer.toHexString(body.length())
        + "\r\n"
        + body
        + "\r\n0\r\n\r\n";
  }

  /** Makes a call; returns its events, and after them whether it failed. */
  private String call(StageKind kind, String requestId) {
    return protocol
        .call(newCall(kind, requestId))
        .map(CutUpstreamResponseTests::text)
        .onErrorReturn(UpstreamException.class, FAILED)
        .collect(Collectors.joining(" "))
        .block(TIMEOUT);
  }

  private static String text(UpstreamEvent event) {
    return event instanceof UpstreamEvent.Token token
        ? "token " + token.text()
        : "answer " + ((UpstreamEvent.Answer) event).output();
  }

  private UpstreamCall newCall(StageKind kind, String requestId) {
    StageDefinition stage =
        new StageDefinition(
            "stage",
            kind,
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            List.of("u"),
            true,
            1,
            1,
            Optional.empty(),
            Optional.of(PATH));
    UpstreamDefinition definition =
        new UpstreamDefinition(
            "u",
            "127.0.0.1",
            upstream.upstream("u").port(),
            "zone",
            List.of(kind),
            List.of(),
            1,
            false,
            true);
    return new UpstreamCall(
        requestId,
        stage,
        1,
        definition,
        JsonNodeFactory.instance.objectNode(),
        TIMEOUT,
        "",
        OptionalLong.empty());
  }
}
