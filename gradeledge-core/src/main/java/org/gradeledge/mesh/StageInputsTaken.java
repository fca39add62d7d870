package org.gradeledge.mesh;

/**
 * Tells the box of a request that the inputs of a stage have been fetched.
 *
 * @param requestId id of the request
 * @param stage number of the stage
 */
record StageInputsTaken(String requestId, int stage) {}
