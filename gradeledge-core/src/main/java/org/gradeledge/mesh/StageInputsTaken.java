package org.gradeledge.mesh;

/**
 * Reports that the inputs of a stage have been fetched, to the box that processes the request.
 *
 * @param requestId id of the request
 * @param stage number of the stage
 */
record StageInputsTaken(String requestId, int stage) {}
