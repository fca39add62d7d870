package org.gradeledge.relay;

/**
 * What the head of an upstream's answer tells.
 *
 * @param notRun whether the upstream says that it did not run the request
 * @param addressReused whether another upstream has taken the address over
 * @since 0.2
 */
public record AnswerSignals(boolean notRun, boolean addressReused) {}
