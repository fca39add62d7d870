package org.gradeledge.relay;

import java.util.List;
import java.util.Optional;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.Repeatability;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.deployment.StageWork;
import org.gradeledge.deployment.TestDeployments;
import org.gradeledge.deployment.WeightedService;
import org.gradeledge.discovery.UpstreamRecord;

/** Streams of a {@link SimulatedRelay} whose upstreams fall silent. */
final class SilentStreams {

  static final String FIRST_EVENT = "id: 1\ndata: piece 1\n\n";
  static final String SECOND_EVENT = "id: 2\ndata: piece 2\n\n";
  static final StageWork STAGE = new StageWork("service", List.of(), 1);
  static final long TIMEOUT_MILLIS = 15_000;
  static final long TARGET_MILLIS = 2_000;

  /** Longer than any silence after which something is decided. */
  static final long PAUSE_MILLIS = 6_000;

  /** Time until a lost connection is known and its replacement sent. */
  static final long SILENCE_MILLIS = 2_500;

  /** Time until the next report is requested. */
  static final long REPORT_MILLIS = 1_000;

  private static final long STEP_MILLIS = 50;

  private SilentStreams() {}

  /** Advances the time in small steps; upstreams answer each request for a report. */
  static void advanceAndReport(SimulatedRelay box, long millis) throws InterruptedException {
    for (long step = 0; step < millis; step += STEP_MILLIS) {
      box.advance(STEP_MILLIS);
      box.reports.answer();
      box.runPendingTasks();
    }
  }

  /** Sends a request without stage work and forwards its first event. */
  static FakeUpstreamCaller.Call begin(SimulatedRelay box) throws InterruptedException {
    box.send("r1", List.of());
    FakeUpstreamCaller.Call call = box.upstreamCaller.nextCall();
    call.beginResponse(200, FIRST_EVENT);
    return call;
  }

  /** Sends a request with stage work and computes its inputs. */
  static FakeUpstreamCaller.Call sendStaged(SimulatedRelay box) throws InterruptedException {
    box.send("r1", List.of(1));
    box.stageWorkClient.complete(0);
    return box.upstreamCaller.nextCall();
  }

  /** Sends a request with stage work and forwards its first event. */
  static FakeUpstreamCaller.Call beginStaged(SimulatedRelay box) throws InterruptedException {
    FakeUpstreamCaller.Call call = sendStaged(box);
    call.beginResponse(200, FIRST_EVENT);
    return call;
  }

  /** Returns a route of streams that may be resumed. */
  static RouteDefinition route(StageWork... stages) {
    RouteDefinition template =
        TestDeployments.route(
            SimulatedRelay.HOST, "/path/", Repeatability.RESUMABLE_STREAM, List.of(stages));
    return new RouteDefinition(
        template.name(),
        template.host(),
        template.pathPrefix(),
        template.repeatability(),
        TIMEOUT_MILLIS,
        TARGET_MILLIS,
        template.priority(),
        template.maxAttempts(),
        List.of(new WeightedService("service", 1)),
        template.stages(),
        template.publicAccess());
  }

  /** Returns an upstream of a software version. */
  static UpstreamRecord upstream(int number, String version) {
    return new UpstreamRecord(
        "u" + number, 0, "service", "10.0.0.1", number, "zone", 8, false, 0, Optional.of(version));
  }
}
