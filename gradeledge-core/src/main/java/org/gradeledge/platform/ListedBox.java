package org.gradeledge.platform;

/**
 * A box or upstream in the platform's list.
 *
 * @param id its name
 * @param address host and port, joined by a colon, at which the platform looks whether it is up
 * @param state what the list says of it
 * @since 0.1
 */
public record ListedBox(String id, String address, BoxState state) {}
