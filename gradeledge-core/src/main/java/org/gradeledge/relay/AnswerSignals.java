package org.gradeledge.relay;

/**
 * Signals in the head of an upstream's answer.
 *
 * @param notRun whether the upstream reports that it did not run the request
 * @param addressReused whether another upstream now uses the address
 * @since 0.2
 */
public record AnswerSignals(boolean notRun, boolean addressReused) {}
