package org.gradeledge.relay;

import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Requests that have not been sent to an upstream yet: those that wait for one to take more, as all
 * of their service name limits, and those whose stage work is under way. The more urgent come
 * first, among equals the earlier. Confined to the event loop.
 */
final class DispatchQueue {

  /** A small part of the time that a limited upstream takes between two requests of a box. */
  private static final long LOOK_MILLIS = 20;

  /** One request in the queue. */
  static final class Place {

    private final String service;
    private final int priority;
    private final Runnable dispatch;
    private boolean waiting;

    Place(String service, int priority, Runnable dispatch) {
      this.service = service;
      this.priority = priority;
      this.dispatch = dispatch;
    }
  }

  private final EventLoop loop;
  private final Map<String, Set<Place>> byService = new HashMap<>();
  private boolean scheduled;

  DispatchQueue(EventLoop loop) {
    this.loop = loop;
  }

  /** Adds a request that will want an upstream later. */
  void expect(Place place) {
    byService.computeIfAbsent(place.service, service -> new LinkedHashSet<>()).add(place);
  }

  /** Lets a request wait; it is dispatched when it may be its turn, as often as it waits again. */
  void await(Place place) {
    expect(place);
    place.waiting = true;
    schedule();
  }

  /** Takes a request out that was sent or has ended. */
  void remove(Place place) {
    byService.computeIfPresent(
        place.service,
        (service, places) -> {
          places.remove(place);
          return places.isEmpty() ? null : places;
        });
  }

  /** Returns how many other requests for the same service are before one. */
  long ahead(Place place) {
    return before(place).count();
  }

  /** Returns how many others before one wait for an upstream already. */
  long waitingAhead(Place place) {
    return before(place).filter(each -> each.waiting).count();
  }

  private Stream<Place> before(Place place) {
    Set<Place> places = byService.getOrDefault(place.service, Set.of());
    return Stream.concat(
        places.stream().filter(each -> each.priority < place.priority),
        places.stream()
            .takeWhile(each -> each != place)
            .filter(each -> each.priority == place.priority));
  }

  private void schedule() {
    if (!scheduled) {
      scheduled = true;
      loop.schedule(this::look, LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void look() {
    scheduled = false;
    Set.copyOf(byService.keySet()).forEach(this::dispatch);
  }

  /** Dispatches as long as the request whose turn it is does not have to wait again. */
  private void dispatch(String service) {
    Optional<Place> next = next(service);
    while (next.isPresent()) {
      Place place = next.get();
      place.waiting = false;
      place.dispatch.run();
      if (place.waiting) {
        return;
      }
      next = next(service);
    }
  }

  private Optional<Place> next(String service) {
    return byService.getOrDefault(service, Set.of()).stream()
        .filter(place -> place.waiting)
        .min(Comparator.comparingInt(place -> place.priority));
  }
}
