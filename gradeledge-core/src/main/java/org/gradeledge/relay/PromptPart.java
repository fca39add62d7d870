package org.gradeledge.relay;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id the same for the same part
 * @param tokens its length
 * @since 0.2
 */
public record PromptPart(String id, long tokens) {}
