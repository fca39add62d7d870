package org.gradeledge.platform;

import java.util.Optional;

/**
 * One write of a transaction.
 *
 * @param key the row written
 * @param value the new text, absent to delete the row
 * @since 0.1
 */
public record TableWrite(String key, Optional<String> value) {}
