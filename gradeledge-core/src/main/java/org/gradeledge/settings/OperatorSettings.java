package org.gradeledge.settings;

/**
 * An operator who may change the configuration.
 *
 * @param name name in the audit trail
 * @param tokenSha256 lower-case hexadecimal SHA-256 digest of the bearer token
 * @since 0.1
 */
public record OperatorSettings(String name, String tokenSha256) {}
