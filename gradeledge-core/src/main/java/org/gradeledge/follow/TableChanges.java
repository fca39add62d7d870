package org.gradeledge.follow;

import java.util.List;

/**
 * Changes of a table since an earlier revision.
 *
 * @param revision revision after the changes
 * @param put new and changed rows
 * @param removed keys of removed rows
 * @since 0.2
 */
public record TableChanges(long revision, List<TableRow> put, List<String> removed) {}
