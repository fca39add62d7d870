package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.FakeUpstreamCaller;
import org.gradeledge.deployment.Repeatability;
import org.gradeledge.deployment.RouteDefinition;
import org.gradeledge.deployment.TestDeployments;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * Streams over several boxes in random orders of broken attempts, resumptions, releases of
 * upstreams, and lost records.
 */
class SoftwareVersionPropertyTests {

  private static final RouteDefinition STREAM =
      TestDeployments.route(SimulatedRelay.HOST, "/path/", Repeatability.RESUMABLE_STREAM);
  private static final Pattern VERSION = Pattern.compile("data: (\\S+)");
  private static final int BOXES = 3;
  private static final int STREAMS = 12;
  private static final int TRIES = 4;

  private Random random = new Random();
  private List<SimulatedRelay> boxes = List.of();
  private final List<String> answers = new ArrayList<>();
  private int revision = 1;

  // Guards against events of two software versions in one stream, over all attempts of its caller.
  @Property(tries = 300, shrinking = ShrinkingMode.OFF)
  void noStreamHasEventsOfTwoVersions(@ForAll long seed) throws InterruptedException {
    start(seed, true);

    for (int stream = 0; stream < STREAMS; stream++) {
      assertThat(versions(playStream("s" + stream, true))).hasSizeLessThanOrEqualTo(1);
    }
  }

  // Guards against refusing each resumption, which also keeps versions apart.
  @Property(tries = 100, shrinking = ShrinkingMode.OFF)
  void everyStreamGoesOnWhileItsVersionServes(@ForAll long seed) throws InterruptedException {
    start(seed, false);

    for (int stream = 0; stream < STREAMS; stream++) {
      playStream("s" + stream, false);
    }

    assertThat(answers)
        .contains("stream")
        .noneMatch(answer -> answer.startsWith(Refusal.STREAM_ORIGIN_UNKNOWN.name()))
        .noneMatch(answer -> answer.startsWith(Refusal.NO_UPSTREAM_OF_VERSION.name()));
  }

  private void start(long seed, boolean unknownVersions) {
    random = new Random(seed);
    revision = 1;
    answers.clear();
    boxes =
        IntStream.range(0, BOXES)
            .mapToObj(box -> new SimulatedRelay(STREAM, upstreams(unknownVersions)))
            .toList();
    boxes.forEach(box -> box.replicas.shareWith(boxes.get(0).replicas));
  }

  /** Two upstreams each of three versions, in an order that decides which is chosen first. */
  private UpstreamRecord[] upstreams(boolean unknownVersions) {
    List<UpstreamRecord> upstreams = new ArrayList<>();
    for (int number = 0; number < 6; number++) {
      boolean unknown = unknownVersions && random.nextInt(8) == 0;
      String version = "v" + number / 2;
      upstreams.add(upstream(number, unknown ? Optional.empty() : Optional.of(version)));
    }
    Collections.shuffle(upstreams, random);
    return upstreams.toArray(UpstreamRecord[]::new);
  }

  /** Plays one stream over the attempts of its caller and returns the events that it received. */
  private String playStream(String id, boolean faulty) throws InterruptedException {
    StringBuilder events = new StringBuilder();
    Optional<String> first = Optional.empty();
    for (int attempt = 0; attempt < TRIES; attempt++) {
      SimulatedRelay box = boxes.get(random.nextInt(BOXES));
      box.events.setLength(0);
      box.answers.clear();
      if (faulty) {
        box.replicas.setUnreachable(random.nextInt(4) == 0);
        changeUpstreams(box);
      }
      String requestId = id + "-" + attempt;
      if (first.isPresent()) {
        box.resume(requestId, first.get());
      } else {
        box.send(requestId, List.of());
      }
      answerCalls(box, faulty);
      answers.addAll(box.answers);
      events.append(box.events);
      if (first.isEmpty() && events.length() > 0) {
        first = Optional.of(requestId);
      }
    }
    return events.toString();
  }

  /** Replaces upstreams at one box only, as boxes read the list at different times. */
  private void changeUpstreams(SimulatedRelay box) {
    if (random.nextInt(3) == 0) {
      revision++;
      List<UpstreamRecord> kept = List.of(upstreams(true)).subList(0, 1 + random.nextInt(6));
      box.upstreams.replaceAll(revision, kept);
    }
  }

  private void answerCalls(SimulatedRelay box, boolean faulty) throws InterruptedException {
    while (!box.upstreamCaller.hasNoCalls()) {
      answer(box.upstreamCaller.nextCall(), faulty);
      box.runPendingTasks();
      box.upstreamCaller.completeProbes();
      box.runPendingTasks();
    }
  }

  private void answer(FakeUpstreamCaller.Call call, boolean faulty) {
    String event = "id: 1\ndata: " + call.target().softwareVersion().orElse("none") + "\n\n";
    switch (random.nextInt(6)) {
      case 0 -> call.fail(CallFailure.NOT_CONNECTED);
      case 1 -> {
        if (faulty) {
          call.respond(SimulatedRelay.OTHER_UPSTREAM, "");
        } else {
          call.fail(CallFailure.NOT_CONNECTED);
        }
      }
      case 2 -> {
        call.beginResponse(200, "id: 1\ndata: none");
        call.fail(CallFailure.BROKEN);
      }
      case 3, 4 -> {
        call.beginResponse(200, event);
        call.fail(CallFailure.BROKEN);
      }
      default -> {
        call.beginResponse(200, event + "id: 2\nda");
        call.fail(CallFailure.GARBLED);
      }
    }
  }

  private static Set<String> versions(String events) {
    return VERSION.matcher(events).results().map(MatchResult::group).collect(Collectors.toSet());
  }

  private static UpstreamRecord upstream(int number, Optional<String> version) {
    return new UpstreamRecord(
        "u" + number, 0, "service", "10.0.0.1", number + 1, "zone", 8, false, 0, version);
  }
}
