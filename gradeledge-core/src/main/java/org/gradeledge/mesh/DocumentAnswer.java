package org.gradeledge.mesh;

/**
 * Response with the configuration that a box has in force.
 *
 * @param document the configuration document, empty if the box has none
 */
record DocumentAnswer(byte[] document) {}
