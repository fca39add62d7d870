package org.gradeledge.follow;

import java.time.Duration;
import java.util.function.Supplier;

/**
 * Intervals of the calls to a table; each is evaluated before every call.
 *
 * @param maxWait longest time that a call may wait for a change
 * @param delay delay between an answer and the next call
 * @param maxBackoff longest delay after a failed call, without jitter
 * @since 0.3
 */
public record PollingIntervals(
    Supplier<Duration> maxWait, Supplier<Duration> delay, Supplier<Duration> maxBackoff) {}
