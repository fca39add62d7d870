package org.gradeledge.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Simulates, in virtual time, boxes that serve different requests whose prompts share parts: an
 * early part of few kinds and a later one of many. One part crashes each upstream that begins to
 * answer a request with it.
 */
final class PromptPartSimulation {

  /**
   * Parameters of a run.
   *
   * @param crashingEarly whether the crashing part is an early one, which more requests share
   * @param tied whether a later part always follows the same early one
   * @param crashingShare share of the requests that have the crashing part
   * @param crashesPerSecond crashes of upstreams that no request causes
   */
  record Plan(
      int boxCount,
      int upstreamCount,
      int requestsPerSecond,
      boolean crashingEarly,
      boolean tied,
      double crashingShare,
      long maxPropagationMillis,
      double crashesPerSecond) {}

  private static final long DURATION_MILLIS = 30_000;
  private static final int EARLY_PARTS = 8;
  private static final int LATER_PARTS = 200;
  private static final int CRASHING_PART = 999;
  private static final long MAX_FIRST_EVENT_MILLIS = 500;
  private static final long MAX_STREAM_MILLIS = 2_000;
  private static final long DOWN_MILLIS = 3_000;
  private static final long DETECTION_MILLIS = 2;
  private static final long CALLER_RETRY_MILLIS = 400;
  private static final int MAX_ATTEMPTS = 2;
  private static final int MAX_ARRIVALS = 2;

  /** Crash from which on the allowed requests are counted, and the time until it is. */
  private static final int COUNTED_CRASH = 5;

  private static final long REACTION_MILLIS = 3_000;

  private static final class Upstream {

    private int incarnation;
    private boolean down;
    private final List<Attempt> running = new ArrayList<>();
  }

  private record Attempt(Request request, boolean[] begun) {}

  private final Plan plan;
  private final Random random;
  private final SimulatedBoxes boxes;
  private final List<Upstream> upstreams = new ArrayList<>();
  private long bodies;
  private int crashes;
  private long reactedMillis = Long.MAX_VALUE;
  private int lateCrashingSends;
  private int lateHarmless;
  private int lateHarmlessRefused;

  PromptPartSimulation(Plan plan, long seed) {
    this.plan = plan;
    this.random = new Random(seed);
    this.boxes = new SimulatedBoxes(plan.boxCount(), plan.maxPropagationMillis(), random);
  }

  /** A request with a body of its own that a caller sends to up to {@code MAX_ARRIVALS} boxes. */
  private final class Request {

    private final boolean crashing;
    private final RequestFingerprint fingerprint = new RequestFingerprint(7, bodies++, 1);
    private final List<PromptPartIdentity> parts;
    private Quarantine box;
    private int arrivals;
    private int attempts;

    Request(boolean crashing) {
      this.crashing = crashing;
      boolean crashesEarly = crashing && plan.crashingEarly();
      boolean crashesLater = crashing && !plan.crashingEarly();
      int anyLater = 1_000 + (int) (LATER_PARTS * Math.pow(random.nextDouble(), 2));
      int later = crashesLater ? CRASHING_PART : anyLater;
      int anyEarly = plan.tied() ? later % EARLY_PARTS : random.nextInt(EARLY_PARTS);
      int early = crashesEarly ? CRASHING_PART : anyEarly;
      if (crashesEarly && plan.tied()) {
        later += LATER_PARTS;
      }
      this.parts =
          List.of(
              new PromptPartIdentity(Integer.toHexString(later), 1),
              new PromptPartIdentity(Integer.toHexString(early), 2));
    }

    void arrive() {
      if (arrivals++ == MAX_ARRIVALS) {
        return;
      }
      box = boxes.randomQuarantine();
      attempts = 0;
      boolean counted =
          arrivals == 1 && !crashing && boxes.nowMillis() > reactedMillis + REACTION_MILLIS;
      lateHarmless += counted ? 1 : 0;
      lateHarmlessRefused += counted && isQuarantined() ? 1 : 0;
      send();
    }

    private boolean isQuarantined() {
      return box.isQuarantined(fingerprint)
          || parts.stream().anyMatch(part -> box.isQuarantined(part.fingerprint()));
    }

    private void send() {
      List<Upstream> available = upstreams.stream().filter(each -> !each.down).toList();
      if (available.isEmpty() || attempts == MAX_ATTEMPTS || isQuarantined()) {
        boxes.schedule(CALLER_RETRY_MILLIS, this::arrive);
        return;
      }
      attempts++;
      lateCrashingSends += crashing && boxes.nowMillis() > reactedMillis ? 1 : 0;
      Upstream upstream = available.get(random.nextInt(available.size()));
      Attempt attempt = new Attempt(this, new boolean[1]);
      upstream.running.add(attempt);
      long firstEventMillis = 20 + (long) (random.nextDouble() * MAX_FIRST_EVENT_MILLIS);
      boxes.schedule(firstEventMillis, () -> begin(upstream, attempt));
    }

    private void begin(Upstream upstream, Attempt attempt) {
      if (!upstream.running.contains(attempt)) {
        return;
      }
      if (crashing) {
        crash(upstream);
        return;
      }
      attempt.begun()[0] = true;
      parts.forEach(part -> box.recordSuccess(part.fingerprint()));
      boxes.broadcast(box);
      long streamMillis = (long) (random.nextDouble() * MAX_STREAM_MILLIS);
      boxes.schedule(streamMillis, () -> complete(upstream, attempt));
    }

    private void complete(Upstream upstream, Attempt attempt) {
      if (upstream.running.remove(attempt)) {
        box.recordSuccess(fingerprint);
        boxes.broadcast(box);
      }
    }

    private void lost(boolean begun, String incarnationId) {
      box.recordCrash(fingerprint, incarnationId);
      if (!begun) {
        parts.forEach(part -> box.recordCrash(part.fingerprint(), part.breadth(), incarnationId));
      }
      boxes.broadcast(box);
      send();
    }
  }

  /** Simulates half a minute. */
  PromptPartSimulation run() {
    for (int upstream = 0; upstream < plan.upstreamCount(); upstream++) {
      upstreams.add(new Upstream());
    }
    long requests = plan.requestsPerSecond() * DURATION_MILLIS / 1_000;
    for (long number = 0; number < requests; number++) {
      boolean crashing = random.nextDouble() < plan.crashingShare();
      boxes.schedule(random.nextInt((int) DURATION_MILLIS), () -> new Request(crashing).arrive());
    }
    for (int crash = 0; crash < plan.crashesPerSecond() * DURATION_MILLIS / 1_000; crash++) {
      boxes.schedule(
          random.nextInt((int) DURATION_MILLIS),
          () -> fail(upstreams.get(random.nextInt(upstreams.size()))));
    }
    boxes.run();
    return this;
  }

  private void crash(Upstream upstream) {
    crashes++;
    if (crashes == COUNTED_CRASH) {
      reactedMillis = boxes.nowMillis() + REACTION_MILLIS;
    }
    fail(upstream);
  }

  private void fail(Upstream upstream) {
    if (upstream.down) {
      return;
    }
    String incarnationId = upstreams.indexOf(upstream) + "*" + upstream.incarnation++;
    upstream.down = true;
    List<Attempt> interrupted = List.copyOf(upstream.running);
    upstream.running.clear();
    interrupted.forEach(
        attempt ->
            boxes.schedule(
                DETECTION_MILLIS, () -> attempt.request().lost(attempt.begun()[0], incarnationId)));
    boxes.schedule(DOWN_MILLIS, () -> upstream.down = false);
  }

  /** Returns the number of crashes that the crashing part caused. */
  int crashes() {
    return crashes;
  }

  /** Returns how often it was sent to upstreams later than the reaction time after the fifth. */
  int lateCrashingSends() {
    return lateCrashingSends;
  }

  int lateHarmless() {
    return lateHarmless;
  }

  int lateHarmlessRefused() {
    return lateHarmlessRefused;
  }
}
