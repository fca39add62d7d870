package org.gradeledge.standin.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.gradeledge.standin.fleet.EngineArrival.EngineAnnouncement;

/**
 * Checks that boxes apply the announcements of engines; each method returns violations. An
 * announcement holds for one incarnation of the box and one of the engine.
 */
final class SoakAnnouncementChecks {

  private static final long LEAVING_BOUND_MILLIS = 2_000;

  /** Time within which requests arrive that were sent before the response was read. */
  private static final long IN_FLIGHT_MILLIS = 500;

  /** Requests of one box that an engine may receive during a backoff. */
  private static final int MAX_REQUESTS_DURING_BACKOFF = 2;

  private SoakAnnouncementChecks() {}

  /** Identifies the incarnation of a box and of the engine that sent an announcement to it. */
  private record AnnouncementKey(
      int box, int boxIncarnation, String engine, int engineIncarnation) {}

  /**
   * Checks that an engine receives no request that was sent later than the bound after the box had
   * forwarded a response announcing that the engine leaves.
   */
  static List<String> checkLeavingAnnouncements(
      Collection<SoakCall> calls, Collection<FleetEngine> engines) {
    Map<String, SoakCall> callsById = callsById(calls);
    List<String> violations = new ArrayList<>();
    for (FleetEngine engine : engines) {
      Map<AnnouncementKey, Long> announcedMillis = new HashMap<>();
      for (EngineArrival arrival : engine.announcements().arrivals()) {
        Optional.ofNullable(callsById.get(arrival.requestId()))
            .ifPresent(call -> checkArrival(engine, arrival, call, announcedMillis, violations));
      }
    }
    return violations;
  }

  private static void checkArrival(
      FleetEngine engine,
      EngineArrival arrival,
      SoakCall call,
      Map<AnnouncementKey, Long> announcedMillis,
      List<String> violations) {
    AnnouncementKey key = announcementKey(engine, arrival, call);
    Long announcedAt = announcedMillis.get(key);
    if (announcedAt != null && call.sentMillis() > announcedAt + LEAVING_BOUND_MILLIS) {
      violations.add(call.id() + " reached " + engine.id() + ", which had told " + key);
    }
    if (arrival.announcement() == EngineAnnouncement.LEAVING && call.hasStatus(200)) {
      announcedMillis.merge(key, call.endMillis(), Math::min);
    }
  }

  /**
   * Checks that an engine receives at most two requests from a box between half a second after it
   * requested a backoff from that box and the end of the backoff.
   */
  static List<String> checkBackoffs(Collection<SoakCall> calls, Collection<FleetEngine> engines) {
    Map<String, SoakCall> callsById = callsById(calls);
    List<String> violations = new ArrayList<>();
    for (FleetEngine engine : engines) {
      Map<AnnouncementKey, List<EngineArrival>> arrivalsByKey =
          engine.announcements().arrivals().stream()
              .filter(arrival -> callsById.containsKey(arrival.requestId()))
              .collect(
                  Collectors.groupingBy(
                      arrival ->
                          announcementKey(engine, arrival, callsById.get(arrival.requestId()))));
      arrivalsByKey.forEach(
          (key, arrivals) ->
              arrivals.stream()
                  .filter(arrival -> arrival.announcement() == EngineAnnouncement.BACKOFF)
                  .filter(
                      backoff ->
                          countDuringBackoff(backoff, arrivals) > MAX_REQUESTS_DURING_BACKOFF)
                  .findFirst()
                  .ifPresent(
                      backoff ->
                          violations.add(
                              engine.id()
                                  + " asked "
                                  + key
                                  + " for "
                                  + backoff.backoffMillis()
                                  + " ms without requests and got "
                                  + countDuringBackoff(backoff, arrivals))));
    }
    return violations;
  }

  private static long countDuringBackoff(EngineArrival backoff, List<EngineArrival> arrivals) {
    return arrivals.stream()
        .filter(
            arrival -> arrival.receivedAtMillis() > backoff.receivedAtMillis() + IN_FLIGHT_MILLIS)
        .filter(
            arrival ->
                arrival.receivedAtMillis() < backoff.receivedAtMillis() + backoff.backoffMillis())
        .count();
  }

  private static AnnouncementKey announcementKey(
      FleetEngine engine, EngineArrival arrival, SoakCall call) {
    return new AnnouncementKey(call.box(), call.incarnation(), engine.id(), arrival.incarnation());
  }

  private static Map<String, SoakCall> callsById(Collection<SoakCall> calls) {
    return calls.stream()
        .collect(Collectors.toMap(SoakCall::id, Function.identity(), (first, second) -> first));
  }
}
