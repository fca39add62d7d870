package org.gradeledge.platform;

/**
 * A precondition of a transaction.
 *
 * @param key key of the row
 * @param revision expected revision, {@link TableRow#ABSENT} if the row must not exist
 * @since 0.1
 */
public record TableCondition(String key, long revision) {}
