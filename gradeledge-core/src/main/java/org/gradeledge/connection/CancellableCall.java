package org.gradeledge.connection;

/**
 * A call that is under way.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface CancellableCall {

  /** Gives the call up; its connection is closed so that the upstream stops working on it. */
  void cancel();
}
