package org.gradeledge.audit;

import java.util.Comparator;
import java.util.List;
import org.gradeledge.platform.RowValues;
import org.gradeledge.platform.TableService;
import reactor.core.publisher.Mono;

/**
 * Reads the audit trail of configuration changes. The box that decides on a change writes the entry
 * in the same transaction. Thread-safe.
 *
 * @since 0.1
 */
public final class AuditTrail {

  private final TableService table;

  /** Creates an audit trail that reads from the given table. */
  public AuditTrail(TableService table) {
    this.table = table;
  }

  /** Returns all entries, oldest first. */
  public Mono<List<AuditEntry>> entries() {
    return table
        .read(List.of(AuditEntry.PREFIX))
        .map(
            rows ->
                rows.stream()
                    .map(row -> RowValues.decode(row, AuditEntry.class))
                    .sorted(Comparator.comparingLong(AuditEntry::atMillis))
                    .toList());
  }
}
