package org.gradeledge.follow;

import java.time.Duration;
import java.util.function.Supplier;

/**
 * How often a table is called. Each is asked for anew before every call.
 *
 * @param longestWait how long a call may wait for a change
 * @param pause shortest time between calls
 * @param longestBackoff longest time between calls while the table is away, without jitter
 * @since 0.3
 */
public record FollowPace(
    Supplier<Duration> longestWait, Supplier<Duration> pause, Supplier<Duration> longestBackoff) {}
