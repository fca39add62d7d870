package org.gradeledge.platform;

/**
 * A box or upstream in the platform's list.
 *
 * @param id id of the box or upstream
 * @param address {@code host:port} that the platform probes for health
 * @param state listed state
 * @since 0.1
 */
public record ListedBox(String id, String address, BoxState state) {}
