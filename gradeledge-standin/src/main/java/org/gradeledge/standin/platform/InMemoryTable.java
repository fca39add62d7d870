package org.gradeledge.standin.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.gradeledge.platform.CommitResult;
import org.gradeledge.platform.TableCondition;
import org.gradeledge.platform.TableRow;
import org.gradeledge.platform.TableTransaction;

/** A transactional table in memory; every commit gives its rows one new revision. Thread-safe. */
public final class InMemoryTable {

  private final TreeMap<String, TableRow> rows = new TreeMap<>();
  private long revision;
  private long commits;
  private long reads;

  /** Carries out a transaction. */
  public synchronized CommitResult commit(TableTransaction transaction) {
    commits++;
    List<String> conflicts =
        transaction.conditions().stream()
            .filter(condition -> revisionOf(condition.key()) != condition.revision())
            .map(TableCondition::key)
            .toList();
    if (!conflicts.isEmpty()) {
      return new CommitResult(false, 0, conflicts);
    }
    revision++;
    transaction
        .writes()
        .forEach(
            write ->
                write
                    .value()
                    .ifPresentOrElse(
                        value -> rows.put(write.key(), new TableRow(write.key(), value, revision)),
                        () -> rows.remove(write.key())));
    return new CommitResult(true, revision, List.of());
  }

  /** Returns all rows whose keys start with one of the prefixes. */
  public synchronized List<TableRow> read(List<String> prefixes) {
    reads++;
    List<TableRow> found = new ArrayList<>();
    for (String prefix : prefixes) {
      rows.tailMap(prefix, true).values().stream()
          .takeWhile(row -> row.key().startsWith(prefix))
          .forEach(found::add);
    }
    return found;
  }

  /** Returns how many commits and reads there were. */
  public synchronized long[] callCounts() {
    return new long[] {commits, reads};
  }

  private long revisionOf(String key) {
    TableRow row = rows.get(key);
    return row == null ? TableRow.ABSENT : row.revision();
  }
}
