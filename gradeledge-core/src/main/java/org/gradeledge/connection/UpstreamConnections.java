package org.gradeledge.connection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** The connections to one upstream. Confined to the event loop. */
final class UpstreamConnections {

  private final Deque<UpstreamConnection> kept = new ArrayDeque<>();
  private final Set<CallInProgress> dialling = new LinkedHashSet<>();
  private int open;
  private boolean closing;

  int open() {
    return open;
  }

  /** Returns whether one more may be opened; a kept one that rests is closed for it. */
  boolean makeRoom(int limit) {
    if (open >= limit && !kept.isEmpty()) {
      kept.removeFirst().close();
    }
    return open < limit;
  }

  void opened() {
    open++;
  }

  /** Notes a call that waits for a connection of its own. */
  void dialling(CallInProgress call) {
    dialling.add(call);
  }

  void dialled(CallInProgress call) {
    dialling.remove(call);
  }

  /**
   * Fails the calls that were not sent yet: a dial may take as long as a third of the bound within
   * which an upstream that leaves must get nothing new.
   */
  void failDialling(CallFailure failure) {
    List.copyOf(dialling).forEach(call -> call.giveUp(failure));
  }

  void closed(UpstreamConnection connection) {
    open--;
    kept.remove(connection);
  }

  /** Returns the kept connection that was used last, if it may carry the request. */
  @Nullable UpstreamConnection takeKept(ConnectionReuse reuse) {
    while (!kept.isEmpty()) {
      UpstreamConnection newest = kept.peekLast();
      if (!reuse.allows(newest.idleMillis())) {
        return null;
      }
      kept.removeLast();
      if (newest.usable()) {
        return newest;
      }
      newest.close();
    }
    return null;
  }

  /** Keeps a connection whose call is over, and closes those that have rested too long. */
  void keep(UpstreamConnection connection) {
    if (closing) {
      connection.close();
      return;
    }
    kept.addLast(connection);
    while (!kept.isEmpty() && !kept.peekFirst().usable()) {
      kept.removeFirst().close();
    }
  }

  void closeKept() {
    closing = true;
    closeResting();
  }

  /** Closes those that rest; those in use may be kept again. */
  void closeResting() {
    List.copyOf(kept).forEach(UpstreamConnection::close);
    kept.clear();
  }
}
