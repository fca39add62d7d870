package org.gradeledge.mesh;

/**
 * Asks a box for the origin of a stream.
 *
 * @param requestId id of the request that began the stream
 */
record OriginQuery(String requestId) {}
