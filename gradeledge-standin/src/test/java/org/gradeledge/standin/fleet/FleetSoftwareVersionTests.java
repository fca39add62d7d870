package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests streams while upstreams of several software versions serve the same service. */
@Timeout(120)
class FleetSoftwareVersionTests {

  private static final int BOXES = 3;
  private static final int STREAMS = 24;
  private static final String PATH = "/resume/x";

  /** Size of the record of a stream in the store. */
  private static final int RECORD_BYTES = 20;

  private final Fleet fleet = new Fleet();
  private final List<FleetEngine> engines = new ArrayList<>();

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  // Guards against resuming a caller's stream at another software version, and against refusing it.
  @Test
  void resumesStreamsOfCallersAtTheirVersionOnly() throws Exception {
    startBoxes("v1", "v1", "v2", "v2");
    List<StreamCaller> callers = beginInterruptedStreams();

    for (int number = 0; number < STREAMS; number++) {
      callers.get(number).send(fleet.callerPort((number + 1) % BOXES), PATH);
    }

    assertThat(callers).allMatch(caller -> caller.versions().size() == 1);
    assertThat(callers).allMatch(StreamCaller::isComplete);
  }

  // Guards against continuing a stream within its answer at another software version.
  @Test
  void continuesInterruptedStreamsAtTheirVersionOnly() throws Exception {
    startBoxes("v1", "v1", "v2", "v2");
    engines.get(0).setFault(EngineFault.CUT);
    engines.get(2).setFault(EngineFault.CUT);

    List<StreamCaller> callers = newCallers();
    for (int number = 0; number < STREAMS; number++) {
      callers.get(number).send(fleet.callerPort(number % BOXES), PATH);
    }

    assertThat(callers).as(fleet.allLogs()).allMatch(caller -> caller.versions().size() == 1);
    assertThat(callers).as(fleet.allLogs()).allMatch(StreamCaller::isComplete);
  }

  // Guards against losing the version of a stream together with the box that forwarded its start.
  @Test
  void resumesStreamsOfAKilledBox() throws Exception {
    startBoxes("v1", "v1", "v2", "v2");
    List<StreamCaller> callers = beginInterruptedStreams();
    fleet.killBox(0);

    for (int number = 0; number < STREAMS; number++) {
      callers.get(number).send(fleet.callerPort(1 + number % (BOXES - 1)), PATH);
    }

    assertThat(callers).allMatch(caller -> caller.versions().size() == 1);
    assertThat(callers).allMatch(StreamCaller::isComplete);
  }

  // Guards against refusing, or mixing, the streams from before a loss of all boxes.
  @Test
  void resumesStreamsAfterAllBoxesWereKilled() throws Exception {
    startBoxes("v1", "v1", "v2", "v2");
    List<StreamCaller> callers = beginInterruptedStreams();
    long begunAnswers = callers.stream().mapToLong(StreamCaller::successCount).sum();
    Fleet.await(() -> fleet.store().valueBytes("stream-origins") >= begunAnswers * RECORD_BYTES);
    fleet.killAllBoxes();
    fleet.startBoxes(BOXES);

    for (int number = 0; number < STREAMS; number++) {
      callers.get(number).send(fleet.callerPort(number % BOXES), PATH);
    }

    assertThat(callers).allMatch(caller -> caller.versions().size() == 1);
    assertThat(callers).allMatch(StreamCaller::isComplete);
  }

  // Guards against holding a stream, or resuming it elsewhere, after the last of its version left.
  @Test
  void refusesResumptionOnceNoUpstreamOfTheVersionIsLeft() throws Exception {
    startBoxes("v1");
    List<StreamCaller> callers = beginInterruptedStreams();
    addEngine("v2");
    fleet.putServerRow(engines.get(0), "draining");
    for (int box = 0; box < BOXES; box++) {
      int port = fleet.callerPort(box);
      Fleet.await(() -> beginsAt(port, "v2"));
    }

    for (int number = 0; number < STREAMS; number++) {
      StreamCaller caller = callers.get(number);
      assertThat(caller.send(fleet.callerPort(number % BOXES), PATH)).isEqualTo(503);
      assertThat(caller.retryAfter()).isPresent();
    }
    assertThat(callers).allMatch(caller -> caller.versions().size() == 1);
  }

  private void startBoxes(String... versions) throws Exception {
    for (String version : versions) {
      addEngine(version);
    }
    fleet.startBoxes(BOXES);
    fleet.awaitPeersConnected();
  }

  private void addEngine(String version) {
    engines.add(fleet.addEngine("model", EngineKind.STREAM, version));
  }

  private boolean beginsAt(int port, String version) throws Exception {
    StreamCaller caller = new StreamCaller();
    caller.send(port, PATH);
    return caller.versions().contains(version);
  }

  /** Starts streams that all break off in the middle. */
  private List<StreamCaller> beginInterruptedStreams() throws Exception {
    engines.forEach(engine -> engine.setFault(EngineFault.CUT));
    List<StreamCaller> callers = newCallers();
    for (int number = 0; number < STREAMS; number++) {
      StreamCaller caller = callers.get(number);
      int port = fleet.callerPort(number % BOXES);
      Fleet.await(
          () -> {
            caller.send(port, PATH);
            return caller.hasBegun();
          });
    }
    engines.forEach(engine -> engine.setFault(EngineFault.NONE));
    return callers;
  }

  private static List<StreamCaller> newCallers() {
    return IntStream.range(0, STREAMS).mapToObj(number -> new StreamCaller()).toList();
  }
}
