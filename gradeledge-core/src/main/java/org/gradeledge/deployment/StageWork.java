package org.gradeledge.deployment;

import java.util.List;

/**
 * Work that must be finished before a request of a route can run.
 *
 * @param service name of the service that does it
 * @param dependencies numbers of the stages whose results it needs
 * @param resultBytes about how large one result is
 * @since 0.2
 */
public record StageWork(String service, List<Integer> dependencies, long resultBytes) {

  /** Copies the list. */
  public StageWork {
    dependencies = List.copyOf(dependencies);
  }
}
