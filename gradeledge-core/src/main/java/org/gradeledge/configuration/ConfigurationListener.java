package org.gradeledge.configuration;

/**
 * Receives each version that becomes active on this box.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface ConfigurationListener {

  /** Handles a version that has become active; must not block. */
  void onVersionActivated(PipelineVersion version);
}
