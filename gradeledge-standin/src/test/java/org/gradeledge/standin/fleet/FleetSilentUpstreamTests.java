package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests streams whose upstream pauses, and streams whose connection falls silent for good. */
@Timeout(120)
class FleetSilentUpstreamTests {

  private static final int STREAMS = 6;
  private static final String PATH = "/resume/x";

  private final Fleet fleet = new Fleet();
  private final List<StreamCaller> callers =
      IntStream.range(0, STREAMS).mapToObj(number -> new StreamCaller()).toList();

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  // Guards against cutting a begun stream whose upstream pauses and goes on.
  @Test
  void forwardsWholeStreamsOfPausingUpstream() throws Exception {
    FleetEngine engine = fleet.addEngine("model", EngineKind.STREAM);
    fleet.startBoxes(1);
    engine.silence().pauseAfter(2);

    fleet.runConcurrently(
        STREAMS + 1,
        number -> {
          if (number < STREAMS) {
            callers.get(number).send(fleet.callerPort(0), PATH);
          } else {
            Fleet.await(this::boxHasNoticedSilence);
            engine.silence().resume();
          }
        });

    assertThat(callers).allMatch(StreamCaller::isComplete, fleet.allLogs());
    assertThat(engine.executedRequests()).hasSize(STREAMS);
  }

  // Guards against waiting for ever on connections that carry nothing any more.
  @Test
  void continuesStreamsOfSeveredConnectionsAtOtherUpstream() throws Exception {
    FleetEngine severed = fleet.addEngine("model", EngineKind.STREAM);
    fleet.addEngine("model", EngineKind.STREAM);
    fleet.startBoxes(1);
    severed.silence().severAfter(2);

    fleet.runConcurrently(STREAMS, number -> callers.get(number).send(fleet.callerPort(0), PATH));

    assertThat(severed.executedRequests()).isNotEmpty();
    assertThat(callers).allMatch(StreamCaller::isComplete, fleet.allLogs());
  }

  private boolean boxHasNoticedSilence() {
    return fleet.hasLogged(0, "attempt-abandoned") || fleet.hasLogged(0, "attempt-silent");
  }
}
