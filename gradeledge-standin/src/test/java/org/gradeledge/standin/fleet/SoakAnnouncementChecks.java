package org.gradeledge.standin.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.gradeledge.standin.fleet.EngineArrival.Answer;

/**
 * Whether boxes heeded what engines said of themselves, judged by what callers sent and engines
 * got; each method returns what broke it. What a box has been told holds for one life of it and one
 * start of the engine.
 */
final class SoakAnnouncementChecks {

  private static final long LEAVING_BOUND_MILLIS = 2_000;

  /** What was sent before the answer was read arrives within this. */
  private static final long IN_FLIGHT_MILLIS = 500;

  /** So many requests may come from one box within a time all the same. */
  private static final int MAX_REQUESTS_DURING_BACKOFF = 2;

  private SoakAnnouncementChecks() {}

  /** A box and its life, and an engine and its start: who was told by whom. */
  private record Told(int box, int life, String engine, int start) {}

  /**
   * No request that a caller sent later than the bound after the box had passed on an answer that
   * says that the engine leaves reaches that start of it.
   */
  static List<String> checkLeavingAnnouncements(
      Collection<SoakCall> calls, Collection<FleetEngine> engines) {
    Map<String, SoakCall> byId = callsById(calls);
    List<String> broken = new ArrayList<>();
    for (FleetEngine engine : engines) {
      Map<Told, Long> passedOn = new HashMap<>();
      for (EngineArrival arrival : engine.signals().arrivals()) {
        Optional.ofNullable(byId.get(arrival.id()))
            .ifPresent(call -> checkArrival(engine, arrival, call, passedOn, broken));
      }
    }
    return broken;
  }

  private static void checkArrival(
      FleetEngine engine,
      EngineArrival arrival,
      SoakCall call,
      Map<Told, Long> passedOn,
      List<String> broken) {
    Told told = announcementKey(engine, arrival, call);
    Long since = passedOn.get(told);
    if (since != null && call.sentMillis() > since + LEAVING_BOUND_MILLIS) {
      broken.add(call.id() + " reached " + engine.id() + ", which had told " + told);
    }
    if (arrival.answer() == Answer.LEAVING && call.hasStatus(200)) {
      passedOn.merge(told, call.endMillis(), Math::min);
    }
  }

  /**
   * No more than two requests of a box reach an engine between half a second after it has turned
   * one of that box away and the end of the time that it asked for.
   */
  static List<String> checkBackoffs(Collection<SoakCall> calls, Collection<FleetEngine> engines) {
    Map<String, SoakCall> byId = callsById(calls);
    List<String> broken = new ArrayList<>();
    for (FleetEngine engine : engines) {
      Map<Told, List<EngineArrival>> byBox =
          engine.signals().arrivals().stream()
              .filter(arrival -> byId.containsKey(arrival.id()))
              .collect(
                  Collectors.groupingBy(
                      arrival -> announcementKey(engine, arrival, byId.get(arrival.id()))));
      byBox.forEach(
          (told, arrivals) ->
              arrivals.stream()
                  .filter(arrival -> arrival.answer() == Answer.BACKOFF)
                  .filter(
                      asked -> countDuringBackoff(asked, arrivals) > MAX_REQUESTS_DURING_BACKOFF)
                  .findFirst()
                  .ifPresent(
                      asked ->
                          broken.add(
                              engine.id()
                                  + " asked "
                                  + told
                                  + " for "
                                  + asked.backoffMillis()
                                  + " ms without requests and got "
                                  + countDuringBackoff(asked, arrivals))));
    }
    return broken;
  }

  private static long countDuringBackoff(EngineArrival asked, List<EngineArrival> arrivals) {
    return arrivals.stream()
        .filter(arrival -> arrival.millis() > asked.millis() + IN_FLIGHT_MILLIS)
        .filter(arrival -> arrival.millis() < asked.millis() + asked.backoffMillis())
        .count();
  }

  private static Told announcementKey(FleetEngine engine, EngineArrival arrival, SoakCall call) {
    return new Told(call.box(), call.life(), engine.id(), arrival.start());
  }

  private static Map<String, SoakCall> callsById(Collection<SoakCall> calls) {
    return calls.stream()
        .collect(Collectors.toMap(SoakCall::id, Function.identity(), (first, again) -> first));
  }
}
