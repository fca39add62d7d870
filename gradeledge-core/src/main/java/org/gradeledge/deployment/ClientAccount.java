package org.gradeledge.deployment;

import java.util.Optional;

/**
 * A client account that is identified by keys.
 *
 * @param name name of the account, forwarded to upstreams
 * @param priority priority of the account, if any; takes precedence over that of the route, 0 is
 *     the most urgent
 * @since 0.2
 */
public record ClientAccount(String name, Optional<Integer> priority) {}
