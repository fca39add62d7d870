package org.gradeledge.resumption;

import java.util.Set;
import java.util.function.Consumer;

/**
 * The other boxes that store the origins of streams, as the box that began a stream may be gone
 * when its caller comes back.
 *
 * @since 0.3
 */
public interface OriginReplicas {

  /** Sends a record to the boxes that store it, without waiting for them. */
  void store(OriginRecord originRecord);

  /**
   * Asks the boxes that store the records of a stream. Calls the listener once, on the event loop,
   * with the hashes of the origins that the first box knows that knows any, or with none.
   */
  void find(long streamKey, Consumer<Set<Long>> listener);
}
