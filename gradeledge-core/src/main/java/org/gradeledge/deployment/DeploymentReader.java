package org.gradeledge.deployment;

import io.vavr.control.Either;

/**
 * Reads a configuration document in whatever form its source has.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface DeploymentReader {

  /** Returns the configuration, or what is wrong with the document and where. */
  Either<String, Deployment> read(byte[] document);
}
