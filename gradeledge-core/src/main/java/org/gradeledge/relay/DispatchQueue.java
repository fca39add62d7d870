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
 * Queue of requests that have not been sent to an upstream yet: requests that wait until an
 * upstream of their service accepts them, and requests whose stage work is in flight. Ordered by
 * priority, then by arrival. Confined to the event loop.
 */
final class DispatchQueue {

  /** Short compared with the interval at which a limited upstream accepts requests. */
  private static final long POLL_INTERVAL_MILLIS = 20;

  /** A request in the queue. */
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

  /** Adds a request that is not ready to be sent yet. */
  void add(QueuedRequest request) {
    requestsByService
        .computeIfAbsent(request.service, service -> new LinkedHashSet<>())
        .add(request);
  }

  /**
   * Adds a request that waits for an upstream. It is dispatched when it is next in line and must be
   * added again if it still has to wait.
   */
  void addWaiting(QueuedRequest request) {
    add(request);
    request.waiting = true;
    schedulePoll();
  }

  /** Removes a request that was sent or has ended. */
  void remove(QueuedRequest request) {
    requestsByService.computeIfPresent(
        request.service,
        (service, requests) -> {
          requests.remove(request);
          return requests.isEmpty() ? null : requests;
        });
  }

  /** Returns how many requests for the same service are ahead of this one. */
  long countAhead(QueuedRequest request) {
    return requestsAhead(request).count();
  }

  /** Returns how many of the requests ahead of this one are ready to be sent. */
  long countWaitingAhead(QueuedRequest request) {
    return requestsAhead(request).filter(each -> each.waiting).count();
  }

  private Stream<QueuedRequest> requestsAhead(QueuedRequest request) {
    Set<QueuedRequest> requests = requestsByService.getOrDefault(request.service, Set.of());
    return Stream.concat(
        requests.stream().filter(each -> each.priority < request.priority),
        requests.stream()
            .takeWhile(each -> each != request)
            .filter(each -> each.priority == request.priority));
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

  /** Dispatches waiting requests in order until one has to wait again. */
  private void dispatch(String service) {
    Optional<QueuedRequest> waitingRequest = nextWaiting(service);
    while (waitingRequest.isPresent()) {
      QueuedRequest request = waitingRequest.get();
      request.waiting = false;
      request.dispatch.run();
      if (request.waiting) {
        return;
      }
      waitingRequest = nextWaiting(service);
    }
  }

  private Optional<QueuedRequest> nextWaiting(String service) {
    return requestsByService.getOrDefault(service, Set.of()).stream()
        .filter(request -> request.waiting)
        .min(Comparator.comparingInt(request -> request.priority));
  }
}
