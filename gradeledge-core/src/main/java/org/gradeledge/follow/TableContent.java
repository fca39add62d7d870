package org.gradeledge.follow;

import java.util.List;

/**
 * A whole table.
 *
 * @param revision newest revision that it holds
 * @param rows its rows
 * @since 0.2
 */
public record TableContent(long revision, List<TableRow> rows) {}
