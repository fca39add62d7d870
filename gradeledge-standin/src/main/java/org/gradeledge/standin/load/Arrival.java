package org.gradeledge.standin.load;

/**
 * One request of a plan.
 *
 * @param dueNanos when it is due, from the start of the plan
 * @param target what it is sent to
 */
public record Arrival(long dueNanos, Target target) {}
