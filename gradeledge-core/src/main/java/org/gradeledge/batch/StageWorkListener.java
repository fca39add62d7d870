package org.gradeledge.batch;

/**
 * Hears how the work on a group of pieces goes. Called on the event loop.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface StageWorkListener {

  /** The work ended; called once, unless the group was cancelled. */
  void onEnd(StageGroupResult result);

  /**
   * Upstreams have fetched the inputs of all pieces, so that they can be given up. Called at most
   * once, before the end; an input that was given up too early comes back as {@link
   * StageOutcome#GONE}.
   */
  default void onInputsFetched() {}
}
