package org.gradeledge.follow;

import java.time.Duration;
import java.util.function.Supplier;

/**
 * How often a table is called. Each is asked for anew before every call.
 *
 * @param maxWait how long a call may wait for a change
 * @param delay shortest time between calls
 * @param maxBackoff longest time between calls while the table is away, without jitter
 * @since 0.3
 */
public record PollingIntervals(
    Supplier<Duration> maxWait, Supplier<Duration> delay, Supplier<Duration> maxBackoff) {}
