package org.gradeledge.batch;

import java.util.List;
import java.util.Optional;

/**
 * Has stage work done, by this box or by another one.
 *
 * @since 0.2
 */
public interface StageWorkClient {

  /** Starts the work on a group; the listener hears once how it ended, unless it is cancelled. */
  void submit(StageGroup group, StageWorkListener listener);

  /**
   * Returns about how long what waits for a service or is on its way to it, as urgent as a priority
   * or more, keeps its upstreams busy.
   */
  long backlogMillis(String service, int priority);

  /** Tells of pieces that an admitted request will want made once its earlier stages are done. */
  void announce(String service, int priority, int pieces);

  /** Takes an announcement back, as the pieces are submitted now or not wanted any more. */
  void withdraw(String service, int priority, int pieces);

  /** Returns the zone that a result lies in. */
  Optional<String> zoneOf(String handle);

  /** Gives up the work of a request that waits for a service. */
  void cancel(String service, String requestId);

  /** Gives results up that were made for a service. */
  void release(String service, List<String> handles);
}
