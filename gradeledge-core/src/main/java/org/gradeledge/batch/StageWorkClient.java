package org.gradeledge.batch;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Has stage work done, by this box or by another one.
 *
 * @since 0.2
 */
public interface StageWorkClient {

  /** Starts the work on a group; the listener hears once how it ended, unless it is cancelled. */
  void submit(StageGroup group, Consumer<StageGroupResult> listener);

  /**
   * Returns about how long what waits for a service, as urgent as a priority or more, keeps its
   * upstreams busy.
   */
  long backlogMillis(String service, int priority);

  /** Returns the zone that a result lies in. */
  Optional<String> zoneOf(String handle);

  /** Gives up the work of a request that waits for a service. */
  void cancel(String service, String requestId);

  /** Gives results up that were made for a service. */
  void free(String service, List<String> handles);
}
