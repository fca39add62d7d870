package org.gradeledge.relay;

/**
 * A part of a prompt that several requests may share.
 *
 * @param id identifies the content of the part
 * @param tokens length in tokens
 * @since 0.2
 */
public record PromptPart(String id, long tokens) {}
