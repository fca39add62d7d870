package org.gradeledge.deployment;

/**
 * What a caller may send, and how long it may take or rest.
 *
 * @param maxHeaderBytes most bytes of a request's head
 * @param maxBodyBytes most bytes of a request's body
 * @param headerTimeoutMillis longest time that a head may take
 * @param idleTimeoutMillis longest time that a connection may rest
 * @since 0.2
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
