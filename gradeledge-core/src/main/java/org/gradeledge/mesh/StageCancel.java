package org.gradeledge.mesh;

/**
 * Cancels the waiting stage work of a request.
 *
 * @param service service that the work waits for
 * @param requestId id of the request
 */
record StageCancel(String service, String requestId) {}
