package org.gradeledge.mesh;

/**
 * Request for a document of another box.
 *
 * @param known revision that the requesting box has
 */
record DocumentRequest(long known) {}
