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
  private static final long POLL_INTERVAL_MILLIS = 20;

  /** One request in the queue. */
  static final class QueuedRequest {

    private final String service;
    private final int priority;
    private final Runnable dispatch;
    private boolean waiting;

    QueuedRequest(String service, int priority, Runnable dispatch) {
      this.service = service;
      this.priority = priority;
      this.dispatch = dispatch;
    }
  }

  private final EventLoop loop;
  private final Map<String, Set<QueuedRequest>> requestsByService = new HashMap<>();
  private boolean scheduled;

  DispatchQueue(EventLoop loop) {
    this.loop = loop;
  }

  /** Adds a request that will want an upstream later. */
  void add(QueuedRequest place) {
    requestsByService.computeIfAbsent(place.service, service -> new LinkedHashSet<>()).add(place);
  }

  /** Lets a request wait; it is dispatched when it may be its turn, as often as it waits again. */
  void addWaiting(QueuedRequest place) {
    add(place);
    place.waiting = true;
    schedulePoll();
  }

  /** Takes a request out that was sent or has ended. */
  void remove(QueuedRequest place) {
    requestsByService.computeIfPresent(
        place.service,
        (service, places) -> {
          places.remove(place);
          return places.isEmpty() ? null : places;
        });
  }

  /** Returns how many other requests for the same service are before one. */
  long countAhead(QueuedRequest place) {
    return requestsAhead(place).count();
  }

  /** Returns how many others before one wait for an upstream already. */
  long countWaitingAhead(QueuedRequest place) {
    return requestsAhead(place).filter(each -> each.waiting).count();
  }

  private Stream<QueuedRequest> requestsAhead(QueuedRequest place) {
    Set<QueuedRequest> places = requestsByService.getOrDefault(place.service, Set.of());
    return Stream.concat(
        places.stream().filter(each -> each.priority < place.priority),
        places.stream()
            .takeWhile(each -> each != place)
            .filter(each -> each.priority == place.priority));
  }

  private void schedulePoll() {
    if (!scheduled) {
      scheduled = true;
      loop.schedule(this::poll, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void poll() {
    scheduled = false;
    Set.copyOf(requestsByService.keySet()).forEach(this::dispatch);
  }

  /** Dispatches as long as the request whose turn it is does not have to wait again. */
  private void dispatch(String service) {
    Optional<QueuedRequest> next = nextWaiting(service);
    while (next.isPresent()) {
      QueuedRequest place = next.get();
      place.waiting = false;
      place.dispatch.run();
      if (place.waiting) {
        return;
      }
      next = nextWaiting(service);
    }
  }

  private Optional<QueuedRequest> nextWaiting(String service) {
    return requestsByService.getOrDefault(service, Set.of()).stream()
        .filter(place -> place.waiting)
        .min(Comparator.comparingInt(place -> place.priority));
  }
}
