package org.gradeledge.settings;

/**
 * One operator who may change configuration.
 *
 * @param name the name that the audit trail shows
 * @param tokenSha256 lower-case hexadecimal SHA-256 digest of the bearer token
 * @since 0.1
 */
public record OperatorSettings(String name, String tokenSha256) {}
