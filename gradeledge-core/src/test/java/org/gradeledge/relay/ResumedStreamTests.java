package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.Repeatability;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.deployment.StageWork;
import org.gradeledge.deployment.TestDeployments;
import org.gradeledge.deployment.WeightedService;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.resumption.OriginRecord;
import org.gradeledge.resumption.StreamOrigin;
import org.junit.jupiter.api.Test;

/** Streams that are continued by the box or resumed by callers, among several software versions. */
class ResumedStreamTests {

  private static final List<Integer> NO_PIECES = List.of();
  private static final String EVENT = "id: 1\ndata: piece\n\n";
  private static final StreamOrigin FIRST_VERSION = new StreamOrigin("service", "v1");
  private static final StreamOrigin SECOND_VERSION = new StreamOrigin("service", "v2");

  private static final RouteDefinition STREAM =
      TestDeployments.route(SimulatedRelay.HOST, "/path/", Repeatability.RESUMABLE_STREAM);
  private static final RouteDefinition STAGED_STREAM =
      TestDeployments.route(
          SimulatedRelay.HOST,
          "/path/",
          Repeatability.RESUMABLE_STREAM,
          List.of(new StageWork("service", List.of(), 1)));

  // Guards against recording the version of an attempt whose events never reached the caller.
  @Test
  void recordsOriginOfFirstForwardedEvent() throws Exception {
    SimulatedRelay box = new SimulatedRelay(STREAM, upstream(1, "v1"), upstream(2, "v2"));
    box.send("r1", NO_PIECES);
    FakeUpstreamCaller.Call failing = box.upstreamCaller.nextCall();
    failing.beginResponse(200, "id: 1\ndata: pi");
    assertThat(box.replicas.storedFor("r1")).isEmpty();
    failing.fail(CallFailure.BROKEN);
    box.runPendingTasks();

    box.upstreamCaller.nextCall().beginResponse(200, EVENT);

    assertThat(box.replicas.storedFor("r1")).containsExactly(SECOND_VERSION.hash());
  }

  // Guards against holding a stream that no upstream of its version can continue.
  @Test
  void abortsAtOnceIfNoOtherUpstreamOfTheVersionIsLeft() throws Exception {
    SimulatedRelay box = new SimulatedRelay(STREAM, upstream(1, "v1"), upstream(2, "v2"));
    box.send("r1", NO_PIECES);
    FakeUpstreamCaller.Call call = box.upstreamCaller.nextCall();
    call.beginResponse(200, EVENT);

    call.fail(CallFailure.BROKEN);
    box.runPendingTasks();

    assertThat(box.answers).containsExactly("stream", "abort");
    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();
  }

  // Guards against continuing a stream of an upstream whose version is unknown.
  @Test
  void abortsStreamOfUnknownVersion() throws Exception {
    SimulatedRelay box =
        new SimulatedRelay(STREAM, SimulatedRelay.upstream(1), SimulatedRelay.upstream(2));
    box.send("r1", NO_PIECES);
    FakeUpstreamCaller.Call call = box.upstreamCaller.nextCall();
    call.beginResponse(200, EVENT);
    call.fail(CallFailure.BROKEN);
    box.runPendingTasks();
    box.resume("r2", "r1");

    assertThat(box.answers)
        .hasSize(3)
        .startsWith("stream", "abort")
        .last()
        .asString()
        .startsWith("STREAM_ORIGIN_UNKNOWN ");
    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();
  }

  // Guards against sending a resumed stream of a split route to the service of its new id.
  @Test
  void keepsResumedStreamAtItsService() throws Exception {
    UpstreamRecord other = upstream(2, "other", "v1");
    SimulatedRelay box =
        new SimulatedRelay(splitRoute("service", "other"), upstream(1, "v1"), other);
    box.replicas.store(OriginRecord.of("r0", new StreamOrigin("other", "v1"), 1_000));

    for (int number = 1; number <= 20; number++) {
      box.resume("r" + number, "r0");
      assertThat(box.upstreamCaller.nextCall().target()).isEqualTo(other);
    }
  }

  // Guards against requests to a service that the route has left.
  @Test
  void refusesStreamWhoseServiceTheRouteHasLeft() {
    SimulatedRelay box = new SimulatedRelay(STREAM, upstream(2, "former", "v1"));
    box.replicas.store(OriginRecord.of("r0", new StreamOrigin("former", "v1"), 1_000));

    box.resume("r1", "r0");

    assertThat(box.answers).hasSize(1).first().asString().startsWith("NO_UPSTREAM_OF_VERSION ");
  }

  // Guards against stage work for a stream that cannot go on.
  @Test
  void refusesBeforeStageWorkIfNoUpstreamOfTheVersionIsLeft() {
    SimulatedRelay box = new SimulatedRelay(STAGED_STREAM, upstream(2, "v2"));
    box.replicas.store(OriginRecord.of("r0", FIRST_VERSION, 1_000));

    box.resume("r1", "r0", 1);

    assertThat(box.answers).hasSize(1).first().asString().startsWith("NO_UPSTREAM_OF_VERSION ");
    assertThat(box.stageWorkClient.submittedStages()).isEmpty();
  }

  @Test
  void refusesStreamOfContradictoryOrigins() {
    SimulatedRelay box = new SimulatedRelay(STREAM, upstream(1, "v1"), upstream(2, "v2"));
    box.replicas.store(OriginRecord.of("r0", FIRST_VERSION, 1_000));
    box.replicas.store(OriginRecord.of("r0", SECOND_VERSION, 1_000));

    box.resume("r1", "r0");

    assertThat(box.answers).hasSize(1).first().asString().startsWith("STREAM_ORIGIN_UNKNOWN ");
  }

  // Guards against refusing callers that do not say where their stream began, and against taking
  // their resumption for the beginning of a stream.
  @Test
  void resumesUnnamedStreamAnywhereWithoutRecord() throws Exception {
    SimulatedRelay box = new SimulatedRelay(STREAM, upstream(1, "v1"));
    box.resumeUnnamed("r1");
    box.upstreamCaller.nextCall().beginResponse(200, EVENT);

    assertThat(box.answers).containsExactly("stream");
    assertThat(box.replicas.storedFor("r1")).isEmpty();
  }

  @Test
  void recordsResumedStreamUnderItsFirstRequest() throws Exception {
    SimulatedRelay box = new SimulatedRelay(STREAM, upstream(1, "v1"), upstream(2, "v2"));
    box.replicas.store(OriginRecord.of("r0", SECOND_VERSION, 1_000));
    box.resume("r1", "r0");
    box.upstreamCaller.nextCall().beginResponse(200, EVENT);

    assertThat(box.replicas.storedFor("r1")).isEmpty();
    assertThat(box.replicas.storedFor("r0")).containsExactly(SECOND_VERSION.hash());
  }

  // Guards against work for a caller that left while the origin of its stream was looked up.
  @Test
  void doesNotStartAfterCallerDisconnected() {
    SimulatedRelay box = new SimulatedRelay(STREAM, upstream(1, "v1"));
    box.replicas.store(OriginRecord.of("r0", FIRST_VERSION, 1_000));
    box.replicas.delayAnswers();
    box.resume("r1", "r0");
    box.disconnectCaller();

    box.replicas.answerAll();
    box.runPendingTasks();

    assertThat(box.upstreamCaller.hasNoCalls()).isTrue();
    assertThat(box.answers).isEmpty();
  }

  @Test
  void refusesResumptionThatIsLookedUpWhileTheBoxStops() {
    SimulatedRelay box = new SimulatedRelay(STREAM, upstream(1, "v1"));
    box.replicas.store(OriginRecord.of("r0", FIRST_VERSION, 1_000));
    box.replicas.delayAnswers();
    box.resume("r1", "r0");
    box.handler().stop();

    box.replicas.answerAll();

    assertThat(box.answers).hasSize(1).first().asString().startsWith("STOPPING ");
  }

  // Guards against upstreams that get more time than the caller waits.
  @Test
  void lookupCountsTowardsTheTimeout() {
    SimulatedRelay box = new SimulatedRelay(STREAM, upstream(1, "v1"));
    box.replicas.store(OriginRecord.of("r0", FIRST_VERSION, 9_000));
    box.replicas.delayAnswers();
    box.resume("r1", "r0");
    box.advance(500);
    box.replicas.answerAll();
    box.runPendingTasks();

    box.advance(1_499);
    assertThat(box.answers).isEmpty();
    box.advance(1);
    assertThat(box.answers).containsExactly("LATE ");
  }

  private static RouteDefinition splitRoute(String... services) {
    List<WeightedService> weighted =
        IntStream.range(0, services.length)
            .mapToObj(index -> new WeightedService(services[index], 1))
            .toList();
    return new RouteDefinition(
        STREAM.name(),
        STREAM.host(),
        STREAM.pathPrefix(),
        STREAM.repeatability(),
        STREAM.timeoutMillis(),
        STREAM.targetLatencyMillis(),
        STREAM.priority(),
        STREAM.maxAttempts(),
        weighted,
        STREAM.stages(),
        STREAM.publicAccess());
  }

  private static UpstreamRecord upstream(int number, String version) {
    return upstream(number, "service", version);
  }

  private static UpstreamRecord upstream(int number, String service, String version) {
    return new UpstreamRecord(
        "u" + number, 0, service, "10.0.0.1", number, "zone", 8, false, 0, Optional.of(version));
  }
}
