package org.gradeledge.standin.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Checks guarantees on the requests that callers and engines recorded; returns violations. */
final class SoakChecks {

  private static final Pattern EVENT_ID = Pattern.compile("(?m)^id: (\\d+)$");
  private static final List<Integer> ALL_EVENT_IDS =
      IntStream.rangeClosed(1, FleetEngine.EVENTS).boxed().toList();

  private SoakChecks() {}

  /** Checks that each successful response is complete and belongs to its request. */
  static List<String> checkResponses(Collection<SoakCall> calls) {
    return findViolations(
        calls,
        call -> call.hasStatus(200) && !isCompleteResponse(call),
        call -> call.id() + " got: " + call.body());
  }

  private static boolean isCompleteResponse(SoakCall call) {
    if (call.hasPathPrefix("/resume/") || call.hasPathPrefix("/staged/")) {
      return eventIds(call.body()).equals(ALL_EVENT_IDS);
    }
    return call.body().endsWith(" to " + call.id());
  }

  private static List<Integer> eventIds(String body) {
    List<Integer> ids = new ArrayList<>();
    Matcher matcher = EVENT_ID.matcher(body);
    while (matcher.find()) {
      ids.add(Integer.parseInt(matcher.group(1)));
    }
    return ids;
  }

  /** Checks that each non-idempotent request runs at most once. */
  static List<String> checkNoRepeatedRuns(Collection<ReceivedRequest> requests) {
    return countRuns(requests).entrySet().stream()
        .filter(entry -> entry.getValue() > 1)
        .map(entry -> entry.getKey() + " ran " + entry.getValue() + " times")
        .toList();
  }

  private static Map<String, Long> countRuns(Collection<ReceivedRequest> requests) {
    return requests.stream()
        .filter(request -> request.path().startsWith("/once/"))
        .collect(
            Collectors.groupingBy(
                request -> request.header("X-Request-Id"), Collectors.counting()));
  }

  /** Checks that no request runs whose status states that it has not run. */
  static List<String> checkRefusedNotRun(
      Collection<SoakCall> calls, Collection<ReceivedRequest> requests) {
    Set<String> executedIds = countRuns(requests).keySet();
    return findViolations(
        calls,
        call -> (call.hasStatus(503) || call.hasStatus(429)) && executedIds.contains(call.id()),
        call -> call.id() + " was told " + call.status().orElse(0) + " and ran");
  }

  /** Checks that a process that has served an added route never rejects it as unknown. */
  static List<String> checkRoutesKept(Collection<SoakCall> calls) {
    Map<String, Long> servedMillis = new HashMap<>();
    List<String> violations = new ArrayList<>();
    calls.stream()
        .filter(call -> call.hasPathPrefix("/add-"))
        .sorted(Comparator.comparingLong(SoakCall::sentMillis))
        .forEach(call -> checkRoute(call, servedMillis, violations));
    return violations;
  }

  private static void checkRoute(
      SoakCall call, Map<String, Long> servedMillis, List<String> violations) {
    String processAndPath = call.box() + "/" + call.incarnation() + call.path();
    if (call.hasStatus(200)) {
      servedMillis.merge(processAndPath, call.endMillis(), Math::min);
    } else if (call.hasStatus(404)
        && call.sentMillis() > servedMillis.getOrDefault(processAndPath, Long.MAX_VALUE)) {
      violations.add(call.id() + ": box " + call.box() + " forgot " + call.path());
    }
  }

  /** Checks that a planned stop aborts no request that an engine has run. */
  static List<String> checkPlannedStops(
      Collection<SoakCall> calls,
      Collection<ReceivedRequest> requests,
      Collection<PlannedStop> stops) {
    Set<String> executedIds =
        requests.stream()
            .map(request -> request.header("X-Request-Id"))
            .collect(Collectors.toSet());
    return findViolations(
        calls,
        call ->
            call.status().isEmpty()
                && executedIds.contains(call.id())
                && stops.stream().anyMatch(stop -> stop.overlaps(call)),
        call -> call.id() + " was cut by the planned stop of box " + call.box());
  }

  /**
   * A planned stop of a box while no fault is injected.
   *
   * @param box number of the box
   * @param incarnation incarnation of its process
   * @param fromMillis time at which the stop was requested
   * @param untilMillis time at which the process had ended
   */
  record PlannedStop(int box, int incarnation, long fromMillis, long untilMillis) {

    boolean overlaps(SoakCall call) {
      return call.box() == box
          && call.incarnation() == incarnation
          && call.sentMillis() <= untilMillis
          && call.endMillis() >= fromMillis;
    }
  }

  /** Checks that engines which read a body after their answer get that body and no other bytes. */
  static List<String> checkBodiesReadAfterAnswers(Collection<ReceivedRequest> requests) {
    return requests.stream()
        .filter(request -> !request.body().equals(expectedBody(request)))
        .map(request -> "other bytes in place of the body of " + request)
        .toList();
  }

  private static String expectedBody(ReceivedRequest request) {
    return request.method().equals("POST") ? SoakRequestForm.BODY : "";
  }

  /** Returns the maximum number of requests in 4 s at a rate limit. */
  static long maxRequestsInWindow(double perSecond) {
    return (long) (perSecond * 1.5 * 4 + 5);
  }

  private static List<String> findViolations(
      Collection<SoakCall> calls,
      Predicate<SoakCall> isViolation,
      Function<SoakCall, String> message) {
    return calls.stream().filter(isViolation).map(message).toList();
  }
}
