package org.gradeledge.platform;

import java.util.Optional;

/**
 * A write of a transaction.
 *
 * @param key key of the row
 * @param value new value, empty to delete the row
 * @since 0.1
 */
public record TableWrite(String key, Optional<String> value) {}
