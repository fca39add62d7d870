package org.gradeledge.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.gradeledge.configuration.StageDefinition;
import org.gradeledge.configuration.StageKind;
import org.gradeledge.configuration.UpstreamDefinition;
import org.gradeledge.connection.ScriptedUpstream;
import org.gradeledge.connection.ScriptedUpstream.End;
import org.gradeledge.metrics.BoxMetrics;
import org.gradeledge.verdict.Verdict;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Calls to an upstream that sends part of another response before the response to the call. */
@Timeout(60)
class PartOfAnotherResponseTests {

  private static final int MAX_RESPONSE_BYTES = 1024;
  private static final String PATH = "/run";
  private static final String ANSWERED = "ANSWERED";

  private final ScriptedUpstream upstream = new ScriptedUpstream();
  private final ConnectionProvider connections = ConnectionProvider.create("upstreams", 1);
  private final HttpUpstreamProtocol protocol =
      new HttpUpstreamProtocol(
          HttpClient.create(connections).disableRetry(true),
          MAX_RESPONSE_BYTES,
          new BoxMetrics(),
          leaving -> {});

  @AfterEach
  void stop() throws IOException {
    connections.disposeLater().block();
    upstream.close();
  }

  // Guards against a success with the status of another response where the call was refused.
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nServer: u"})
  void refusalIsNoSuccessAfterPartOfAnotherHead(String part) {
    upstream.respond(PATH, part + response("503 Error", "r-1"), End.CLOSE);

    assertThat(call("r-1")).isNotEqualTo(ANSWERED);
  }

  // Guards against the same where the part waits on an idle connection.
  @Test
  void refusalIsNoSuccessAfterPartOfAHeadOnAnIdleConnection() {
    upstream.respond(PATH, response("200 OK", "r-1") + "HTTP/1.1 200 O", End.SILENCE);
    assertThat(call("r-1")).isEqualTo(ANSWERED);
    upstream.respond(PATH, response("503 Error", "r-2"), End.CLOSE);

    assertThat(call("r-2")).isNotEqualTo(ANSWERED);
  }

  // Guards against a call that has run, and is reported as not run by part of another head.
  @Test
  void callThatRanIsNotReportedAsNotRun() {
    String part = "HTTP/1.1 503 Busy\r\nGradeledge-Verdict: not-run\r\nServer: u";
    upstream.respond(PATH, part + response("200 OK", "r-1"), End.CLOSE);

    assertThat(call("r-1")).isNotEqualTo(Verdict.NOT_RUN.name());
  }

  private static String response(String status, String id) {
    return "HTTP/1.1 "
        + status
        + "\r\nGradeledge-Request-Id: "
        + id
        + "\r\nGradeledge-Stage: stage\r\nGradeledge-Attempt: 1\r\nContent-Length: 2\r\n\r\n{}";
  }

  /** Returns whether the call was answered, or else what its failure says of the run. */
  private String call(String id) {
    try {
      protocol.call(newCall(id)).blockLast();
      return ANSWERED;
    } catch (UpstreamException e) {
      return e.verdict().name();
    }
  }

  private UpstreamCall newCall(String id) {
    StageDefinition stage =
        new StageDefinition(
            "stage",
            StageKind.SERVICE,
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            List.of("u"),
            false,
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
            List.of(StageKind.SERVICE),
            List.of(),
            1,
            false,
            true);
    return new UpstreamCall(
        id,
        stage,
        1,
        definition,
        JsonNodeFactory.instance.objectNode(),
        Duration.ofSeconds(30),
        "",
        OptionalLong.empty());
  }
}
