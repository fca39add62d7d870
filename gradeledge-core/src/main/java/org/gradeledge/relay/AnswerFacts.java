package org.gradeledge.relay;

/**
 * What the head of an upstream's answer tells.
 *
 * @param notRun whether the upstream says that it did not run the request
 * @param otherUpstream whether another upstream has taken the address over
 * @since 0.2
 */
public record AnswerFacts(boolean notRun, boolean otherUpstream) {}
