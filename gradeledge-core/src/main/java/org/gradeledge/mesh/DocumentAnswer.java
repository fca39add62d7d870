package org.gradeledge.mesh;

/**
 * The configuration that a box has in force.
 *
 * @param document its document; empty if it has none
 */
record DocumentAnswer(byte[] document) {}
