package org.gradeledge.connection;

import java.util.function.Consumer;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * Sends requests to upstreams.
 *
 * @since 0.2
 */
public interface UpstreamCaller {

  /** Sends a request; the listener is never called before this returns. */
  CancellableCall call(UpstreamRecord target, OutgoingRequest request, CallListener listener);

  /**
   * Uses no connection again that is open now to an upstream, as one of them went silent, and what
   * makes one go silent without a reset does so to all of that age. New ones are opened beside
   * those on which a call is under way.
   */
  void discardConnections(UpstreamRecord target);

  /**
   * Sends an upstream nothing more, as it takes no new work: calls that still wait for a connection
   * fail with {@link CallFailure#ENDED}; those that were sent go on.
   */
  void retire(UpstreamRecord target);

  /**
   * Sends an upstream nothing that still waits for a connection, as it wants nothing for a while:
   * such calls fail with {@link CallFailure#HELD_OFF}.
   */
  void backOff(UpstreamRecord target);

  /**
   * Breaks off all calls to a start of an upstream, as another one has begun under its id: they are
   * lost, and a connection whose other end is no more may stay silent.
   */
  void abort(UpstreamRecord target);

  /**
   * Opens a connection to an upstream and closes it at once, for what that shows; the listener is
   * called on the event loop, never before this returns.
   */
  void probe(UpstreamRecord target, Consumer<LivenessResult> listener);
}
