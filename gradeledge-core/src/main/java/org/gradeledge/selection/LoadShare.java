package org.gradeledge.selection;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What one box has under way at an upstream.
 *
 * @param running requests
 * @param tokens tokens of memory that they may need
 * @since 0.2
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LoadShare(int running, long tokens) {}
