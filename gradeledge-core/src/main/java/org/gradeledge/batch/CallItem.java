package org.gradeledge.batch;

/**
 * A piece in a call.
 *
 * @param group the group of the piece
 * @param index index of the piece within the group
 * @param remainingMillis time until the result is no longer useful
 * @since 0.2
 */
public record CallItem(StageGroup group, int index, long remainingMillis) {}
