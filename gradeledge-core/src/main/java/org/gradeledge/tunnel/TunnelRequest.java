package org.gradeledge.tunnel;

/**
 * Asks a box to connect to an upstream.
 *
 * @param incarnationId the incarnation of the upstream
 * @param keep whether to keep the connection for a tunnel, rather than to check the upstream only
 * @since 0.3
 */
public record TunnelRequest(String incarnationId, boolean keep) {}
