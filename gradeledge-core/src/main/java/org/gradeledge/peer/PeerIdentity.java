package org.gradeledge.peer;

/**
 * Identity of the box at the other end of a connection.
 *
 * @param boxId name of the box
 * @param incarnation incarnation of the box
 * @since 0.1
 */
public record PeerIdentity(String boxId, long incarnation) {}
