package org.gradeledge.standin.load;

/**
 * A scheduled request of a load plan.
 *
 * @param dueNanos scheduled time, relative to the start of the plan
 * @param target pipeline and account of the request
 */
public record Arrival(long dueNanos, Target target) {}
