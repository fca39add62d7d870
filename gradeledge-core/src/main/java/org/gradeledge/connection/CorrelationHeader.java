package org.gradeledge.connection;

/**
 * Response header that identifies the call to which a response belongs.
 *
 * @param header name of the header
 * @param value expected value
 * @since 0.2
 */
public record CorrelationHeader(String header, String value) {}
