package org.gradeledge.deployment;

import java.util.List;

/**
 * Work that must be completed before a request of a route can run.
 *
 * @param service name of the service that performs the work
 * @param dependencies indexes of the stages whose results are required
 * @param resultBytes approximate size of one result
 * @since 0.2
 */
public record StageWork(String service, List<Integer> dependencies, long resultBytes) {

  /** Creates stage work with an immutable copy of the dependencies. */
  public StageWork {
    dependencies = List.copyOf(dependencies);
  }
}
