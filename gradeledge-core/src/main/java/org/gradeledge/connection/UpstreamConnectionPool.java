package org.gradeledge.connection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** The connections to one upstream. Confined to the event loop. */
final class UpstreamConnectionPool {

  private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
  private final Set<CallInProgress> connecting = new LinkedHashSet<>();
  private int openCount;
  private boolean closed;

  int openCount() {
    return openCount;
  }

  /** Returns whether one more may be opened; a kept one that rests is closed for it. */
  boolean ensureCapacity(int limit) {
    if (openCount >= limit && !idle.isEmpty()) {
      idle.removeFirst().close();
    }
    return openCount < limit;
  }

  void connectionOpened() {
    openCount++;
  }

  /** Notes a call that waits for a connection of its own. */
  void addConnecting(CallInProgress call) {
    connecting.add(call);
  }

  void removeConnecting(CallInProgress call) {
    connecting.remove(call);
  }

  /**
   * Fails the calls that were not sent yet: a dial may take as long as a third of the bound within
   * which an upstream that leaves must get nothing new.
   */
  void failConnecting(CallFailure failure) {
    List.copyOf(connecting).forEach(call -> call.abandon(failure));
  }

  void connectionClosed(UpstreamConnection connection) {
    openCount--;
    idle.remove(connection);
  }

  /** Returns the kept connection that was used last, if it may carry the request. */
  @Nullable UpstreamConnection takeIdle(ConnectionReuse reuse) {
    while (!idle.isEmpty()) {
      UpstreamConnection newest = idle.peekLast();
      if (!reuse.allows(newest.idleMillis())) {
        return null;
      }
      idle.removeLast();
      if (newest.isReusable()) {
        return newest;
      }
      newest.close();
    }
    return null;
  }

  /** Keeps a connection whose call is over, and closes those that have rested too long. */
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

  /** Closes those that rest; those in use may be kept again. */
  void closeIdle() {
    List.copyOf(idle).forEach(UpstreamConnection::close);
    idle.clear();
  }
}
