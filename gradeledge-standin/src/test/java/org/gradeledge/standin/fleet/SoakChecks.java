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

/** What must hold, judged by what callers and engines saw; each method returns what broke it. */
final class SoakChecks {

  private static final Pattern EVENT_ID = Pattern.compile("(?m)^id: (\\d+)$");
  private static final List<Integer> ALL_EVENT_IDS =
      IntStream.rangeClosed(1, FleetEngine.EVENTS).boxed().toList();

  private SoakChecks() {}

  /** A success is the whole answer to the caller's own request. */
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

  /** What must not be repeated runs once at most. */
  static List<String> checkNoRepeatedRuns(Collection<SeenRequest> ran) {
    return countRuns(ran).entrySet().stream()
        .filter(entry -> entry.getValue() > 1)
        .map(entry -> entry.getKey() + " ran " + entry.getValue() + " times")
        .toList();
  }

  private static Map<String, Long> countRuns(Collection<SeenRequest> ran) {
    return ran.stream()
        .filter(seen -> seen.path().startsWith("/once/"))
        .collect(Collectors.groupingBy(seen -> seen.header("X-Request-Id"), Collectors.counting()));
  }

  /** A refusal that promises that the request has not run is true. */
  static List<String> checkRefusedNotRun(Collection<SoakCall> calls, Collection<SeenRequest> ran) {
    Set<String> didRun = countRuns(ran).keySet();
    return findViolations(
        calls,
        call -> (call.hasStatus(503) || call.hasStatus(429)) && didRun.contains(call.id()),
        call -> call.id() + " was told " + call.status().orElse(0) + " and ran");
  }

  /** Once a process has served a route that was added, it never says again that there is none. */
  static List<String> checkRoutesKept(Collection<SoakCall> calls) {
    Map<String, Long> served = new HashMap<>();
    List<String> broken = new ArrayList<>();
    calls.stream()
        .filter(call -> call.hasPathPrefix("/add-"))
        .sorted(Comparator.comparingLong(SoakCall::sentMillis))
        .forEach(call -> checkRoute(call, served, broken));
    return broken;
  }

  private static void checkRoute(SoakCall call, Map<String, Long> served, List<String> broken) {
    String process = call.box() + "/" + call.life() + call.path();
    if (call.hasStatus(200)) {
      served.merge(process, call.endMillis(), Math::min);
    } else if (call.hasStatus(404)
        && call.sentMillis() > served.getOrDefault(process, Long.MAX_VALUE)) {
      broken.add(call.id() + ": box " + call.box() + " forgot " + call.path());
    }
  }

  /** A planned stop cuts no request that an engine has run. */
  static List<String> checkPlannedStops(
      Collection<SoakCall> calls, Collection<SeenRequest> ran, Collection<PlannedStop> stops) {
    Set<String> didRun =
        ran.stream().map(seen -> seen.header("X-Request-Id")).collect(Collectors.toSet());
    return findViolations(
        calls,
        call ->
            call.status().isEmpty()
                && didRun.contains(call.id())
                && stops.stream().anyMatch(stop -> stop.overlaps(call)),
        call -> call.id() + " was cut by the planned stop of box " + call.box());
  }

  /**
   * A planned stop with nothing else wrong.
   *
   * @param box number of the box
   * @param incarnation its process
   * @param fromMillis when it was told
   * @param untilMillis when it had ended
   */
  record PlannedStop(int box, int incarnation, long fromMillis, long untilMillis) {

    boolean overlaps(SoakCall call) {
      return call.box() == box
          && call.life() == incarnation
          && call.sentMillis() <= untilMillis
          && call.endMillis() >= fromMillis;
    }
  }

  /** Returns the most requests in 4 s that a limit allows. */
  static long maxRequestsInWindow(double perSecond) {
    return (long) (perSecond * 1.5 * 4 + 5);
  }

  private static List<String> findViolations(
      Collection<SoakCall> calls, Predicate<SoakCall> breaks, Function<SoakCall, String> text) {
    return calls.stream().filter(breaks).map(text).toList();
  }
}
