package org.gradeledge.platform;

/**
 * What must hold for a transaction to take effect.
 *
 * @param key the row looked at
 * @param revision the revision that it must have, {@link TableRow#ABSENT} for no row
 * @since 0.1
 */
public record TableCondition(String key, long revision) {}
