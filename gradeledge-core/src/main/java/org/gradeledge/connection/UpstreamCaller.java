package org.gradeledge.connection;

import java.util.function.Consumer;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * Sends requests to upstreams.
 *
 * @since 0.2
 */
public interface UpstreamCaller {

  /** Sends a request; the listener is never called before this method returns. */
  CancellableCall call(UpstreamRecord target, OutgoingRequest request, CallListener listener);

  /**
   * Stops reusing all connections that are open to an upstream, after one of them stopped
   * responding: the others are likely to be affected too. Calls in flight continue; new connections
   * are opened.
   */
  void discardConnections(UpstreamRecord target);

  /**
   * Stops sending requests to an upstream that accepts no new ones. Calls that wait for a
   * connection fail with {@link CallFailure#ENDED}; calls that were sent continue.
   */
  void retire(UpstreamRecord target);

  /**
   * Cancels the calls that wait for a connection to an upstream that requested a backoff; they fail
   * with {@link CallFailure#HELD_OFF}.
   */
  void backOff(UpstreamRecord target);

  /**
   * Aborts all calls to an incarnation that was replaced by a later one. They are lost, and their
   * connections may never be reset.
   */
  void abort(UpstreamRecord target);

  /**
   * Opens a connection to an upstream and closes it immediately, to check that the upstream is
   * alive. The listener is called on the event loop, never before this method returns.
   */
  void probe(UpstreamRecord target, Consumer<LivenessResult> listener);
}
