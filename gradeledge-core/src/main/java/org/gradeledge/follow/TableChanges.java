package org.gradeledge.follow;

import java.util.List;

/**
 * Changes of a table.
 *
 * @param revision revision that they lead to
 * @param put rows that are new or have changed
 * @param removed keys of rows that are gone
 * @since 0.2
 */
public record TableChanges(long revision, List<TableRow> put, List<String> removed) {}
