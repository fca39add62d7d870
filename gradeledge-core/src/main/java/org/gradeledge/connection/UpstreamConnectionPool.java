package org.gradeledge.connection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Connection pool of one upstream. Confined to the event loop. */
final class UpstreamConnectionPool {

  private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
  private final Set<CallInProgress> connecting = new LinkedHashSet<>();
  private int openCount;
  private boolean closed;

  int openCount() {
    return openCount;
  }

  /** Returns whether another connection may be opened; closes the longest idle one if necessary. */
  boolean ensureCapacity(int limit) {
    if (openCount >= limit && !idle.isEmpty()) {
      idle.removeFirst().close();
    }
    return openCount < limit;
  }

  void connectionOpened() {
    openCount++;
  }

  /** Adds a call that waits for its own new connection. */
  void addConnecting(CallInProgress call) {
    connecting.add(call);
  }

  void removeConnecting(CallInProgress call) {
    connecting.remove(call);
  }

  /**
   * Fails the calls that wait for a connection, so that they are not sent later to an upstream that
   * accepts no new requests.
   */
  void failConnecting(CallFailure failure) {
    List.copyOf(connecting).forEach(call -> call.abandon(failure));
  }

  void connectionClosed(UpstreamConnection connection) {
    openCount--;
    idle.remove(connection);
  }

  /** Returns the most recently used idle connection, if it may carry the request. */
  @Nullable UpstreamConnection takeIdle(OutgoingRequest request) {
    while (!idle.isEmpty()) {
      UpstreamConnection mostRecent = idle.peekLast();
      if (!request.reuse().allows(mostRecent.idleMillis()) || mostRecent.hasCarried(request)) {
        return null;
      }
      idle.removeLast();
      if (mostRecent.isReusable()) {
        return mostRecent;
      }
      mostRecent.close();
    }
    return null;
  }

  /** Returns a connection to the pool after its call, and closes expired idle connections. */
  void release(UpstreamConnection connection) {
    if (closed) {
      connection.close();
      return;
    }
    idle.addLast(connection);
    while (!idle.isEmpty() && !idle.peekFirst().isReusable()) {
      idle.removeFirst().close();
    }
  }

  void close() {
    closed = true;
    closeIdle();
  }

  /** Closes all idle connections; those in use may return to the pool. */
  void closeIdle() {
    List.copyOf(idle).forEach(UpstreamConnection::close);
    idle.clear();
  }
}
