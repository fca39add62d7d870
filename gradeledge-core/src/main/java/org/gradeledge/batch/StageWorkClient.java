package org.gradeledge.batch;

import java.util.List;
import java.util.Optional;

/**
 * Submits stage work to the box that owns the service, which may be this box.
 *
 * @since 0.2
 */
public interface StageWorkClient {

  /**
   * Starts a group of pieces; the listener receives the result once, unless the group is cancelled.
   */
  void submit(StageGroup group, StageWorkListener listener);

  /**
   * Returns the expected time in milliseconds to process the waiting and pending pieces of a
   * service that have the given priority or a more urgent one.
   */
  long backlogMillis(String service, int priority);

  /** Announces pieces that an admitted request will submit once its earlier stages are complete. */
  void announce(String service, int priority, int pieces);

  /** Withdraws announced pieces that were submitted or are no longer required. */
  void withdraw(String service, int priority, int pieces);

  /** Returns the availability zone of the upstream that stores a result. */
  Optional<String> zoneOf(String handle);

  /** Discards the pieces of a request that wait for a service. */
  void cancel(String service, String requestId);

  /** Releases results of a service. */
  void release(String service, List<String> handles);
}
