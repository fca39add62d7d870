package org.gradeledge.mesh;

/**
 * Asks a box for what it has in force.
 *
 * @param known revision that the asking box has
 */
record DocumentRequest(long known) {}
