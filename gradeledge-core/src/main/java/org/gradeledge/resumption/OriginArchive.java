package org.gradeledge.resumption;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Origins of streams in a store that outlasts all boxes. Only one box at a time should add records,
 * for all of them.
 *
 * @since 0.3
 */
public interface OriginArchive {

  /** Archives records soon; those that cannot be written in time are lost. */
  void add(List<OriginRecord> records);

  /**
   * Finds the origins that were archived for a stream. Calls the listener once, on the event loop,
   * with none if the stream is unknown or the store does not answer.
   */
  void find(long streamKey, Consumer<Set<Long>> listener);
}
