package org.gradeledge.deployment;

import java.util.Optional;

/**
 * A client account that keys belong to.
 *
 * @param name its name, told to upstreams
 * @param priority goes before the route's where given; 0 is the most urgent
 * @since 0.2
 */
public record ClientAccount(String name, Optional<Integer> priority) {}
