package org.gradeledge.peer;

/**
 * Who is at the other end of a connection.
 *
 * @param boxId its name
 * @param incarnation its incarnation
 * @since 0.1
 */
public record PeerIdentity(String boxId, long incarnation) {}
