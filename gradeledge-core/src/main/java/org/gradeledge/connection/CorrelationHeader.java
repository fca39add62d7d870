package org.gradeledge.connection;

/**
 * What an answer carries back so that it can be told from answers of other calls.
 *
 * @param header name of the header
 * @param value its value in the answer that belongs to the call
 * @since 0.2
 */
public record CorrelationHeader(String header, String value) {}
