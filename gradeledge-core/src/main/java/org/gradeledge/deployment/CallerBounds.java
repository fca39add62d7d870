package org.gradeledge.deployment;

/**
 * What a caller may send, and how long it may take or rest.
 *
 * @param headerBytes most bytes of a request's head
 * @param bodyBytes most bytes of a request's body
 * @param headerMillis longest time that a head may take
 * @param idleMillis longest time that a connection may rest
 * @since 0.2
 */
public record CallerBounds(int headerBytes, long bodyBytes, long headerMillis, long idleMillis) {}
