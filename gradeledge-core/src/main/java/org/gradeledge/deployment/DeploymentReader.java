package org.gradeledge.deployment;

import io.vavr.control.Either;

/**
 * Reads a configuration document in the format of its source.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface DeploymentReader {

  /** Returns the configuration, or a description of the error and its position. */
  Either<String, Deployment> read(byte[] document);
}
