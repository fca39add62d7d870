package org.gradeledge.connection;

/**
 * Handle of a call in flight.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface CancellableCall {

  /** Cancels the call and closes its connection, so that the upstream stops processing it. */
  void cancel();
}
