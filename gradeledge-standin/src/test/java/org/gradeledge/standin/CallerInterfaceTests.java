package org.gradeledge.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.gradeledge.standin.engine.EngineFault;
import org.gradeledge.standin.engine.EngineStandIn;
import org.gradeledge.standin.engine.EngineTiming;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Flux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

class CallerInterfaceTests {

  private static Deployment deployment;
  private static EngineStandIn encoder;
  private static EngineStandIn generator;

  @BeforeAll
  static void start() {
    deployment = new Deployment(1);
    encoder = deployment.engine();
    generator = deployment.engine(new EngineTiming(16, 1, 200, 1));
    deployment.apply(
        PipelineFiles.named(PipelineFiles.NAME)
            .stage("encode", "encode", true, encoder)
            .stage("confirm", "generate", true, generator)
            .maxTokens(12)
            .text(),
        0);
    deployment.apply(
        PipelineFiles.named("long-route")
            .stage("explain", "generate", true, generator)
            .maxTokens(20_000)
            .text(),
        0);
  }

  @AfterAll
  static void stop() {
    deployment.close();
  }

  @Test
  void answersWholeWithDiacriticsIntact() {
    Reply reply = deployment.call(0).text("Đường Nguyễn Huệ – Велико Търново №7").now();

    assertThat(reply.status()).isEqualTo(200);
    assertThat(reply.json().path("results").path("confirm").path("generated").asText())
        .contains("Đường Nguyễn Huệ – Велико Търново №7");
    assertThat(reply.headers().get("Gradeledge-Verdict")).isEqualTo("completed");
    assertThat(reply.headers().get("Gradeledge-Configuration-Version")).isEqualTo("1");
  }

  @Test
  void streamsTokensWithOffsetsAndThenTheResult() {
    Reply reply = deployment.call(0).header("Accept", "text/event-stream").text("едно две").now();

    assertThat(reply.text()).contains("id: 0\nevent: token\ndata: \"едно\"", "event: result");
    assertThat(reply.text().split("event: token", -1)).hasSize(13);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "{", "[]", "{\"text\":\"a\",\"text\":\"b\"}", "{} {}", "\u0000"})
  void refusesABodyThatIsNotOneJsonObject(String body) {
    refusedNotRun(deployment.call(0).body(body).now(), 400, "malformed-request");
  }

  @Test
  void refusesABodyAboveTheLimit() {
    String large = "{\"text\":\"" + "ж".repeat(3_000) + "\"}";
    refusedNotRun(deployment.call(0).body(large).now(), 413, "body-too-large");
  }

  @Test
  void refusesAHeadAboveTheLimit() {
    Reply reply = deployment.call(0).header("X-Long", "a".repeat(4_000)).now();
    assertThat(reply.status()).isIn(413, 431);
  }

  @Test
  void refusesAnUnknownPipeline() {
    refusedNotRun(deployment.call(0).pipeline("no-such").now(), 404, "pipeline-unknown");
  }

  @Test
  void refusesAWrongToken() {
    Reply reply = deployment.call(0).header("Authorization", "Bearer wrong").now();
    refusedNotRun(reply, 401, "token-unknown");
  }

  @ParameterizedTest
  @ValueSource(strings = {"0", "-5", "8001", "soon"})
  void refusesADeadlineOutOfBounds(String deadline) {
    Reply reply = deployment.call(0).header("Gradeledge-Deadline-Ms", deadline).now();
    refusedNotRun(reply, 400, "deadline-invalid");
  }

  @Test
  void cancelsTheStagesOfACallerThatHangsUp() {
    long before = deployment.runs.cancellationCount();
    long running = deployment.runs.runCount();
    var call =
        deployment.call(0).pipeline("long-route").header("Accept", "text/event-stream").send();
    var caller = call.subscribe();
    Deployment.await(() -> deployment.runs.runCount() > running);
    caller.dispose();

    Deployment.await(() -> deployment.runs.cancellationCount() > before);
    Deployment.await(
        () ->
            deployment.metrics(0).contains("stage=\"explain\",result=\"cancelled\"")
                || deployment.metrics(0).contains("result=\"cancelled\",stage=\"explain\""));
  }

  @Test
  void endsARequestWhoseCallerStopsReadingAndFreesItsUpstream() throws IOException {
    long before = deployment.runs.cancellationCount();
    String text = "дълъг".repeat(300);
    String body = "{\"text\":\"" + text + "\"}";
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(1_024);
      socket.connect(new InetSocketAddress("127.0.0.1", deployment.callerPort(0)));
      String head =
          "POST /v1/pipelines/long-route/requests HTTP/1.1\r\nHost: box\r\nAuthorization: Bearer "
              + PipelineFiles.token("riders")
              + "\r\nAccept: text/event-stream\r\nContent-Length: "
              + bytes.length
              + "\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(bytes);

      Deployment.await(() -> deployment.runs.cancellationCount() > before);
    }
  }

  @Test
  void answersAtTheDeadlineThatItMayHaveRun() {
    encoder.faultInjector().setForNext(EngineFault.FROZEN, 1);
    Reply reply = deployment.call(0).deadline(300).now();

    assertThat(reply.status()).isEqualTo(504);
    assertThat(reply.verdict()).isEqualTo("may-have-run");
    assertThat(reply.headers().get("Retry-After")).isNotNull();
  }

  @Test
  void countsConnectionsAndNotTheRequestsOnThem() {
    HttpClient one = HttpClient.create(ConnectionProvider.create("one", 1));
    List<Integer> statuses =
        Flux.range(0, 2 * TestSettings.CONNECTIONS)
            .concatMap(i -> one.get().uri(healthUri()).response())
            .map(response -> response.status().code())
            .collectList()
            .block();
    assertThat(statuses).hasSize(2 * TestSettings.CONNECTIONS).containsOnly(200);
  }

  /** Which one is over the limit depends on the event loops, not on the order of connecting. */
  @Test
  void closesConnectionsAboveTheLimit() throws IOException {
    List<SocketChannel> channels = new ArrayList<>();
    try {
      for (int i = 0; i <= TestSettings.CONNECTIONS; i++) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", deployment.callerPort(0));
        SocketChannel channel = SocketChannel.open(address);
        channel.configureBlocking(false);
        channels.add(channel);
      }
      Deployment.await(() -> channels.stream().anyMatch(CallerInterfaceTests::isClosedByBox));
    } finally {
      for (SocketChannel channel : channels) {
        channel.close();
      }
    }
    Deployment.await(
        () ->
            HttpClient.newConnection()
                .get()
                .uri(healthUri())
                .response()
                .map(response -> response.status().code() == 200)
                .onErrorReturn(false)
                .block());
  }

  private static boolean isClosedByBox(SocketChannel channel) {
    try {
      return channel.read(ByteBuffer.allocate(1)) < 0;
    } catch (IOException e) {
      return true;
    }
  }

  private static String healthUri() {
    return "http://127.0.0.1:" + deployment.callerPort(0) + "/healthz";
  }

  @Test
  void showsNoTokenInTheMetrics() {
    deployment.call(0).now();
    assertThat(deployment.metrics(0))
        .contains("gradeledge_requests_total")
        .doesNotContain(PipelineFiles.token("riders"), Deployment.OPERATOR_TOKEN);
  }

  private static void refusedNotRun(Reply reply, int status, String reason) {
    assertThat(reply.status()).isEqualTo(status);
    assertThat(reply.verdict()).isEqualTo("not-run");
    assertThat(reply.reason()).isEqualTo(reason);
    assertThat(reply.headers().get("Content-Type")).isEqualTo("application/problem+json");
  }
}
