package org.gradeledge.deployment;

/**
 * Size and time limits for requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of the header section of a request
 * @param maxBodyBytes maximum size of the body of a request
 * @param headerTimeoutMillis maximum time to receive the header section
 * @param idleTimeoutMillis maximum time for which a connection may be idle
 * @since 0.2
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
