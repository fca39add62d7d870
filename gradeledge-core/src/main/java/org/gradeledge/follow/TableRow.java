package org.gradeledge.follow;

/**
 * A row of a table.
 *
 * @param key unique key of the row
 * @param value content of the row
 * @since 0.2
 */
public record TableRow(String key, byte[] value) {}
