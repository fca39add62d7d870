package org.gradeledge.configuration;

/**
 * Told of each version that comes into force on this box.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface ConfigurationListener {

  /** Called once the version is in force; must not block. */
  void onVersionActivated(PipelineVersion version);
}
