package org.gradeledge.upstream;

import org.gradeledge.configuration.UpstreamDefinition;

/**
 * Listener for upstreams that announce in a response that they are leaving.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface LeavingListener {

  /** Called on an event loop when an upstream announces that it is leaving; must not block. */
  void onLeaving(UpstreamDefinition upstream);
}
