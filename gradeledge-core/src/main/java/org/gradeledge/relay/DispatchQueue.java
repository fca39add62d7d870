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
 * upstream accepts them, and requests whose stage work is in flight. Requests with the same
 * candidates are ordered by priority, then by arrival. Confined to the event loop.
 */
final class DispatchQueue {

  /** Short compared with the interval at which a limited upstream accepts requests. */
  private static final long POLL_INTERVAL_MILLIS = 20;

  /** A request in the queue. */
  static final class QueuedRequest {

    private final String queueName;
    private final int priority;
    private final Runnable dispatch;
    private boolean waiting;

    /**
     * Creates a request that is not in the queue.
     *
     * @param queueName name that requests with the same candidates share
     */
    QueuedRequest(String queueName, int priority, Runnable dispatch) {
      this.queueName = queueName;
      this.priority = priority;
      this.dispatch = dispatch;
    }

    String queueName() {
      return queueName;
    }
  }

  private final EventLoop loop;
  private final Map<String, Set<QueuedRequest>> requestsByQueue = new HashMap<>();
  private boolean scheduled;

  DispatchQueue(EventLoop loop) {
    this.loop = loop;
  }

  /** Adds a request that is not ready to be sent yet. */
  void add(QueuedRequest request) {
    requestsByQueue.computeIfAbsent(request.queueName, name -> new LinkedHashSet<>()).add(request);
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
    requestsByQueue.computeIfPresent(
        request.queueName,
        (name, requests) -> {
          requests.remove(request);
          return requests.isEmpty() ? null : requests;
        });
  }

  /** Returns how many requests with the same candidates are ahead of this one. */
  long countAhead(QueuedRequest request) {
    return requestsAhead(request).count();
  }

  /** Returns how many of the requests ahead of this one are ready to be sent. */
  long countWaitingAhead(QueuedRequest request) {
    return requestsAhead(request).filter(each -> each.waiting).count();
  }

  private Stream<QueuedRequest> requestsAhead(QueuedRequest request) {
    Set<QueuedRequest> requests = requestsByQueue.getOrDefault(request.queueName, Set.of());
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
    Set.copyOf(requestsByQueue.keySet()).forEach(this::dispatch);
  }

  /** Dispatches waiting requests in order until one has to wait again. */
  private void dispatch(String queueName) {
    Optional<QueuedRequest> waitingRequest = nextWaiting(queueName);
    while (waitingRequest.isPresent()) {
      QueuedRequest request = waitingRequest.get();
      request.waiting = false;
      request.dispatch.run();
      if (request.waiting) {
        return;
      }
      waitingRequest = nextWaiting(queueName);
    }
  }

  private Optional<QueuedRequest> nextWaiting(String queueName) {
    return requestsByQueue.getOrDefault(queueName, Set.of()).stream()
        .filter(request -> request.waiting)
        .min(Comparator.comparingInt(request -> request.priority));
  }
}
