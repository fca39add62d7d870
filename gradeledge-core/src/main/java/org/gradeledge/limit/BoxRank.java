package org.gradeledge.limit;

/**
 * Rank of this box among the boxes that may send to an upstream, in an order common to all boxes.
 *
 * @param rank number of boxes that precede this one
 * @param boxCount number of boxes, including this one
 * @since 0.4
 */
public record BoxRank(int rank, int boxCount) {}
