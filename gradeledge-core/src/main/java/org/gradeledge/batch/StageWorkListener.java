package org.gradeledge.batch;

/**
 * Receives the progress of a group of pieces. Called on the event loop.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface StageWorkListener {

  /** Called once when the group has ended, unless it was cancelled. */
  void onEnd(StageGroupResult result);

  /**
   * Called at most once, before {@link #onEnd}, when upstreams have fetched the inputs of all
   * pieces, so that they can be released. An input that was released too early leads to {@link
   * StageOutcome#GONE}.
   */
  default void onInputsFetched() {}
}
