package org.gradeledge.follow;

/**
 * A row of a table.
 *
 * @param key its key
 * @param value its bytes
 * @since 0.2
 */
public record TableRow(String key, byte[] value) {}
