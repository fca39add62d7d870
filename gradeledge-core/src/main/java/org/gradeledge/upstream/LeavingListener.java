package org.gradeledge.upstream;

import org.gradeledge.configuration.UpstreamDefinition;

/**
 * Told when an upstream says in an answer that it is leaving.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface LeavingListener {

  /** Called on an event loop; must not block. */
  void onLeaving(UpstreamDefinition upstream);
}
