package org.gradeledge.selection;

/**
 * What one box has under way at an upstream.
 *
 * @param running requests
 * @param tokens tokens of memory that they may need
 * @since 0.2
 */
public record LoadShare(int running, long tokens) {}
