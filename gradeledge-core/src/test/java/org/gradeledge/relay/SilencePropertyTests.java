package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.inspection.RunReport;

/**
 * Streams in random orders of events, pauses, connections that are lost without a sign, upstreams
 * that break off, spent retry budgets, and versions that few upstreams serve.
 */
class SilencePropertyTests {

  private static final String REQUEST = "r1";
  private static final int EVENTS = 5;
  private static final long STEP_MILLIS = 50;

  /** Time within which a stream goes on after its connection was lost. */
  private static final long RECOVERY_MILLIS = 5_000;

  private Random random = new Random();
  private SimulatedRelay box;
  private final List<Run> runs = new ArrayList<>();
  private double probabilityOfEvent;

  /** A run at an upstream, which goes on after its connection was lost. */
  private static final class Run {

    private final FakeUpstreamCaller.Call call;
    private int made;
    private boolean begun;
    private boolean paused;
    private boolean lost;
    private boolean ended;

    Run(FakeUpstreamCaller.Call call) {
      this.call = call;
      String lastEventId = call.header(PassThroughProtocol.LAST_EVENT_ID);
      this.made = lastEventId.isEmpty() ? 0 : Integer.parseInt(lastEventId);
    }

    boolean isHealthy() {
      return !lost && !ended && !call.isCancelled();
    }

    void makeEvent() {
      made++;
      ended = made == EVENTS;
      if (lost) {
        return;
      }
      String event = "id: " + made + "\ndata: " + made + "\n\n";
      if (begun) {
        call.sendContent(event);
      } else if (!call.isCancelled()) {
        begun = true;
        call.beginResponse(200, event);
      }
      if (ended) {
        call.completeResponse();
      }
    }
  }

  // Guards against ending a stream while an attempt is at work that could complete it, and against
  // events that are missing, repeated or of two runs at once.
  @Property(tries = 400, shrinking = ShrinkingMode.OFF)
  void neverEndsStreamWhileAnAttemptIsHealthy(@ForAll long seed) throws Exception {
    start(seed, 1 + new Random(seed).nextInt(3));
    if (random.nextInt(3) == 0) {
      box.spendRetryBudget();
    }
    for (long time = STEP_MILLIS;
        time < SilentStreams.TIMEOUT_MILLIS && !hasEnded();
        time += STEP_MILLIS) {
      List<Run> healthyBefore = runs.stream().filter(Run::isHealthy).toList();
      step(true);
      if (hasEnded() && !isComplete()) {
        assertThat(healthyBefore.stream().filter(run -> !run.lost && !run.ended)).isEmpty();
      }
    }
    assertThat(receivedEvents()).isEqualTo(numbersUpTo(receivedEvents().size()));
  }

  // Guards against taking a paused standby for lost by the events of the run before it.
  @Example
  void keepsStreamWhoseStandbyPauses() throws Exception {
    neverEndsStreamWhileAnAttemptIsHealthy(-280616);
  }

  // Guards against streams that stay silent after their connection was lost although others of
  // their version serve.
  @Property(tries = 200, shrinking = ShrinkingMode.OFF)
  void goesOnAfterConnectionIsLost(@ForAll long seed) throws Exception {
    start(seed, 3);
    probabilityOfEvent = 1;
    int stepsBefore = random.nextInt(EVENTS - 1);
    for (int number = 0; number < stepsBefore; number++) {
      step(false);
    }
    runs.get(0).lost = true;
    for (long time = 0; time < RECOVERY_MILLIS; time += STEP_MILLIS) {
      step(false);
    }

    assertThat(box.answers).containsExactly("stream", "end");
    assertThat(receivedEvents()).isEqualTo(numbersUpTo(EVENTS));
  }

  private void start(long seed, int upstreams) throws Exception {
    random = new Random(seed);
    runs.clear();
    probabilityOfEvent = 0.02 + 0.3 * random.nextDouble();
    box =
        new SimulatedRelay(
            SilentStreams.route(),
            IntStream.range(0, upstreams)
                .mapToObj(number -> SilentStreams.upstream(number + 1, "v1"))
                .toArray(UpstreamRecord[]::new));
    box.send(REQUEST, List.of());
    collectCalls();
  }

  private void step(boolean faulty) throws Exception {
    List.copyOf(runs).stream().filter(run -> !run.ended).forEach(run -> advanceRun(run, faulty));
    box.advance(STEP_MILLIS);
    box.reports.answer(this::report);
    box.upstreamCaller.completeProbes();
    box.runPendingTasks();
    collectCalls();
  }

  private void advanceRun(Run run, boolean faulty) {
    if (faulty && random.nextInt(60) == 0) {
      run.paused = !run.paused;
    }
    if (faulty && random.nextInt(200) == 0) {
      run.lost = true;
    }
    if (faulty && random.nextInt(300) == 0) {
      run.ended = true;
      breakOff(run);
    } else if (!run.paused && random.nextDouble() < probabilityOfEvent) {
      run.makeEvent();
    }
  }

  private static void breakOff(Run run) {
    if (!run.lost && !run.call.isCancelled()) {
      run.call.fail(CallFailure.BROKEN);
    }
  }

  private void collectCalls() throws InterruptedException {
    while (!box.upstreamCaller.hasNoCalls()) {
      runs.add(new Run(box.upstreamCaller.nextCall()));
    }
  }

  private RunReport report(UpstreamRecord upstream) {
    Map<String, Long> events = new HashMap<>();
    runs.stream()
        .filter(run -> run.call.target().equals(upstream) && !run.ended)
        .forEach(run -> events.put(REQUEST, (long) run.made));
    return new RunReport(0, events);
  }

  private boolean hasEnded() {
    return box.answers.stream().anyMatch(answer -> !answer.equals("stream"));
  }

  private boolean isComplete() {
    return box.answers.contains("end");
  }

  private List<Integer> receivedEvents() {
    return box.events
        .toString()
        .lines()
        .filter(line -> line.startsWith("data: "))
        .map(line -> Integer.valueOf(line.substring("data: ".length())))
        .collect(Collectors.toList());
  }

  private static List<Integer> numbersUpTo(int last) {
    return IntStream.rangeClosed(1, last).boxed().toList();
  }
}
