package org.gradeledge.limit;

/**
 * Where this box stands among those that may be sending, in an order that all of them agree on.
 *
 * @param rank how many come before it
 * @param boxCount how many there are, this one included
 * @since 0.4
 */
public record BoxRank(int rank, int boxCount) {}
