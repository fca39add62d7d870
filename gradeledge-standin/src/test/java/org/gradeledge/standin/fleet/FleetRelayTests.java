package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests how a box forwards requests and responses between callers and upstreams. */
@Timeout(60)
class FleetRelayTests {

  private static final String[] AUTHORIZATION = {"Authorization", "Bearer " + Fleet.API_KEY};

  private final Fleet fleet = new Fleet();
  private FleetEngine plain;
  private FleetEngine otherPlain;
  private FleetEngine model;
  private FleetEngine otherModel;

  @BeforeEach
  void start() throws Exception {
    plain = fleet.addEngine("plain", EngineKind.PLAIN);
    otherPlain = fleet.addEngine("plain", EngineKind.PLAIN);
    model = fleet.addEngine("model", EngineKind.STREAM);
    otherModel = fleet.addEngine("model", EngineKind.STREAM);
    fleet.startBox();
    fleet.awaitReady(0);
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  @Test
  void forwardsResponseUnchangedAndReplacesKeyByAccount() throws Exception {
    HttpResponse<String> response =
        fleet.post(
            0, "/once/x?q=1", authorizedHeaders("X-Tenant", "somebody-else", "X-Model", "m"));

    assertThat(response.statusCode()).isEqualTo(200);
    EngineRun run =
        Stream.of(plain, otherPlain).flatMap(engine -> engine.runs().stream()).toList().get(0);
    assertThat(response.headers().allValues("X-Response-Stamp")).containsExactly(run.signature());
    ReceivedRequest request =
        Stream.of(plain, otherPlain)
            .flatMap(engine -> engine.executedRequests().stream())
            .toList()
            .get(0);
    assertThat(response.body()).endsWith(request.header("X-Request-Id"));
    assertThat(request.path()).isEqualTo("/once/x?q=1");
    assertThat(request.body()).isEqualTo("a body");
    assertThat(request.header("X-Tenant")).isEqualTo("a-tenant");
    assertThat(request.header("X-Model")).isEqualTo("m");
    assertThat(request.header("Authorization")).isEmpty();
    assertThat(Long.parseLong(request.header("X-Deadline-Ms"))).isLessThanOrEqualTo(8_000);
  }

  @Test
  void rejectsUnknownPathsAndKeys() throws Exception {
    assertThat(fleet.get(0, "/nowhere/", AUTHORIZATION).statusCode()).isEqualTo(404);
    assertThat(fleet.get(0, "/again/x").statusCode()).isEqualTo(401);
    assertThat(fleet.get(0, "/again/x", "Authorization", "Bearer no").statusCode()).isEqualTo(401);
    assertThat(runCount()).isZero();
  }

  @Test
  void rejectsOversizedBody() throws Exception {
    HttpRequest.BodyPublisher large = HttpRequest.BodyPublishers.ofString("x".repeat(3_000));
    HttpResponse<String> response =
        HttpClient.newHttpClient()
            .send(
                HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + fleet.callerPort(0) + "/once/x"))
                    .headers(AUTHORIZATION)
                    .POST(large)
                    .build(),
                HttpResponse.BodyHandlers.ofString());

    assertThat(response.statusCode()).isEqualTo(413);
    assertThat(runCount()).isZero();
  }

  @Test
  void doesNotRetryNonIdempotentRequest() throws Exception {
    setFault(EngineFault.ANSWER_LOST, plain, otherPlain);

    HttpResponse<String> response = fleet.post(0, "/once/x", AUTHORIZATION);

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(runCount()).isEqualTo(1);
  }

  @Test
  void retriesIdempotentRequestOnAnotherUpstream() throws Exception {
    setFault(EngineFault.ANSWER_LOST, plain);

    for (int i = 0; i < 3; i++) {
      HttpResponse<String> response = fleet.get(0, "/again/x", AUTHORIZATION);
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).startsWith("answer of " + otherPlain.id());
    }
  }

  @Test
  void refusesWithRetryAfterWhenAllUpstreamsAreFull() throws Exception {
    setFault(EngineFault.FULL, plain, otherPlain);

    HttpResponse<String> response = fleet.post(0, "/once/x", AUTHORIZATION);

    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(response.headers().firstValue("Retry-After")).isPresent();
    assertThat(runCount()).isZero();
  }

  @Test
  void avoidsUpstreamWhoseAddressWasReused() throws Exception {
    setFault(EngineFault.OTHER_ENGINE, plain);

    for (int i = 0; i < 10; i++) {
      assertThat(fleet.post(0, "/once/x", AUTHORIZATION).statusCode()).isEqualTo(200);
    }
    assertThat(otherPlain.executedRequests()).hasSize(10);
  }

  @Test
  void discardsMismatchedAndExtraResponses() throws Exception {
    for (EngineFault fault : List.of(EngineFault.OTHERS_ANSWER_FIRST, EngineFault.EXTRA_ANSWER)) {
      setFault(fault, plain, otherPlain);
      for (int i = 0; i < 10; i++) {
        String id = fault.name() + i;
        HttpResponse<String> response =
            fleet.post(0, "/once/x", authorizedHeaders("X-Request-Id", id));
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).endsWith(id);
      }
    }
  }

  @Test
  void reportsTruncatedResponseAsError() throws Exception {
    for (EngineFault fault : List.of(EngineFault.CUT, EngineFault.CUT_WITHOUT_LENGTH)) {
      setFault(fault, plain, otherPlain);
      assertThat(fleet.post(0, "/once/x", AUTHORIZATION).statusCode()).isEqualTo(502);
    }
  }

  @Test
  void forwardsWholeStream() throws Exception {
    assertThat(fleet.post(0, "/stream/x", AUTHORIZATION).body()).isEqualTo(eventStream(1));
    assertThat(fleet.post(0, "/resume/x", authorizedHeaders("Last-Event-Id", "3")).body())
        .isEqualTo(eventStream(4));
  }

  // Guards against resuming a stream at an arbitrary upstream when no box knows where it began.
  @Test
  void refusesResumptionOfUnknownStream() throws Exception {
    HttpResponse<String> response =
        fleet.post(0, "/resume/x", authorizedHeaders("Last-Event-Id", "3", "Resumes", "unknown"));

    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(response.headers().firstValue("Retry-After")).isPresent();
    assertThat(model.executedRequests()).isEmpty();
    assertThat(otherModel.executedRequests()).isEmpty();
  }

  @Test
  void resumesInterruptedStreamOnAnotherUpstream() throws Exception {
    setFault(EngineFault.CUT, model);

    for (int i = 0; i < 6; i++) {
      assertThat(fleet.post(0, "/resume/x", AUTHORIZATION).body()).isEqualTo(eventStream(1));
    }
    assertThat(otherModel.executedRequests()).isNotEmpty();
  }

  @Test
  void abortsInterruptedStreamThatCannotBeResumed() {
    setFault(EngineFault.CUT, model, otherModel);

    assertThatThrownBy(() -> fleet.post(0, "/stream/x", AUTHORIZATION))
        .isInstanceOf(IOException.class);
    assertThat(model.executedRequests().size() + otherModel.executedRequests().size()).isEqualTo(1);
  }

  private static String eventStream(int firstId) {
    StringBuilder events = new StringBuilder();
    IntStream.rangeClosed(firstId, FleetEngine.EVENTS)
        .forEach(id -> events.append(FleetEngineResponses.event(id, FleetEngine.DEFAULT_VERSION)));
    return events.toString();
  }

  private static String[] authorizedHeaders(String... headers) {
    return Stream.concat(Stream.of(AUTHORIZATION), Stream.of(headers)).toArray(String[]::new);
  }

  private static void setFault(EngineFault fault, FleetEngine... engines) {
    Stream.of(engines).forEach(engine -> engine.setFault(fault));
  }

  private int runCount() {
    return plain.executedRequests().size() + otherPlain.executedRequests().size();
  }
}
