package org.gradeledge.batch;

/**
 * One piece as it is put into a call.
 *
 * @param group the group that it belongs to
 * @param index its number in the group
 * @param remainingMillis time left until its result is worth nothing
 * @since 0.2
 */
public record CallItem(StageGroup group, int index, long remainingMillis) {}
