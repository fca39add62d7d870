package org.gradeledge.mesh;

/**
 * Asks a box for the origin of a stream.
 *
 * @param streamKey key of the stream
 */
record OriginQuery(long streamKey) {}
