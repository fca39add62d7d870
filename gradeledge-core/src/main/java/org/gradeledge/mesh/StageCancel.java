package org.gradeledge.mesh;

/**
 * Gives up the waiting stage work of a request.
 *
 * @param service service that it waits for
 * @param requestId the request
 */
record StageCancel(String service, String requestId) {}
