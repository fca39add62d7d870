package org.gradeledge.follow;

import java.util.List;

/**
 * Snapshot of a whole table.
 *
 * @param revision revision of the snapshot
 * @param rows all rows
 * @since 0.2
 */
public record TableContent(long revision, List<TableRow> rows) {}
