package org.gradeledge.selection;

import java.util.List;
import java.util.Optional;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * Selects the upstream of a request.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface UpstreamChooser {

  /** Returns one of the candidates, empty if there are none. */
  Optional<UpstreamRecord> choose(List<UpstreamRecord> candidates, Demand demand);
}
